#include "admission/cold_start_ramp.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

ColdStartRamp::ColdStartRamp(const Clock &clock, ColdStartOptions options)
    : m_clock(clock)
    , m_options(options)
    , m_latency(std::in_place, clock, options.latencySpan)
    , m_restarted(clock.now())
{
    TOUCANDECK_ASSERT(options.windowPerLimit > 0 && options.jumpAnswers > 0, "a window and a jump consist of answers");
}

void ColdStartRamp::setMaximum(unsigned slots)
{
    m_maximum = slots;
    if (m_limit >= m_maximum) {
        m_ramping = false;
    }
}

void ColdStartRamp::restart()
{
    m_ramping = true;
    m_limit = 1;
    m_successes = 0;
    m_slowAnswers = 0;
    m_windowStart = m_clock.now();
    m_restarted = m_windowStart;
    // Latencies of the warm backend server would make every cold answer look like another jump.
    m_latency.emplace(m_clock, m_options.latencySpan);
}

bool ColdStartRamp::record(TimePoint started, const Outcome &outcome)
{
    // What was sent before the restart says nothing about the load since.
    if (started < m_restarted) {
        return false;
    }
    const bool shed = outcome.kind == AnswerKind::Shed;
    const bool ok = outcome.kind == AnswerKind::Ok;
    if (shed || (ok && isLatencyJump(outcome.latency))) {
        restart();
        return true;
    }
    if (ok && m_slowAnswers == 0) {
        countSuccess();
    }
    return false;
}

bool ColdStartRamp::isLatencyJump(Duration latency)
{
    const auto median = m_latency->count() < m_options.leastAnswers ? Duration::zero() : m_latency->quantile(0.5);
    if (median == Duration::zero() || static_cast<double>(latency.count()) <= m_options.jumpFactor * static_cast<double>(median.count())) {
        m_slowAnswers = 0;
        m_latency->record(latency);
        return false;
    }
    return ++m_slowAnswers >= m_options.jumpAnswers;
}

void ColdStartRamp::countSuccess()
{
    if (!m_ramping) {
        return;
    }
    ++m_successes;
    const auto now = m_clock.now();
    if (m_successes < m_options.windowPerLimit * m_limit || now - m_windowStart < m_options.windowTime) {
        return;
    }
    m_limit *= 2;
    m_successes = 0;
    m_windowStart = now;
    m_ramping = m_limit < m_maximum;
}

unsigned ColdStartRamp::limit() const
{
    return m_ramping ? std::min(m_limit, m_maximum) : m_maximum;
}

} // namespace Toucandeck
