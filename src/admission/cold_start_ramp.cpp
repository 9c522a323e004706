#include "admission/cold_start_ramp.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

ColdStartRamp::ColdStartRamp(const Clock &clock, ColdStartOptions options)
    : m_clock(clock)
    , m_options(options)
    , m_latency(std::in_place, clock, options.latencyWindow)
    , m_restartTime(clock.now())
{
    TOUCANDECK_ASSERT(options.successesPerSlot > 0 && options.slowAnswersToRestart > 0,
                      "a window and a latency jump need at least one answer");
}

void ColdStartRamp::setMaximum(unsigned slots)
{
    m_maximum = slots;
    if (m_limit >= m_maximum) {
        m_isRamping = false;
    }
}

void ColdStartRamp::restart()
{
    m_isRamping = true;
    m_limit = 1;
    m_successes = 0;
    m_slowAnswers = 0;
    m_windowStart = m_clock.now();
    m_restartTime = m_windowStart;
    // Latencies measured while the backend server was warm would make every cold answer count as another jump.
    m_latency.emplace(m_clock, m_options.latencyWindow);
}

bool ColdStartRamp::record(TimePoint startTime, const Outcome &outcome)
{
    // The answer to a request sent before the restart does not reflect the load since.
    if (startTime < m_restartTime) {
        return false;
    }
    const bool shed = outcome.kind == AnswerKind::Shed;
    const bool ok = outcome.kind == AnswerKind::Ok;
    if (shed || (ok && countsAsLatencyJump(outcome.latency))) {
        restart();
        return true;
    }
    if (ok && m_slowAnswers == 0) {
        recordSuccess();
    }
    return false;
}

bool ColdStartRamp::countsAsLatencyJump(Duration latency)
{
    const auto median = m_latency->count() < m_options.minAnswers ? Duration::zero() : m_latency->quantile(0.5);
    if (median == Duration::zero()
        || static_cast<double>(latency.count()) <= m_options.latencyJumpFactor * static_cast<double>(median.count())) {
        m_slowAnswers = 0;
        m_latency->record(latency);
        return false;
    }
    return ++m_slowAnswers >= m_options.slowAnswersToRestart;
}

void ColdStartRamp::recordSuccess()
{
    if (!m_isRamping) {
        return;
    }
    ++m_successes;
    const auto now = m_clock.now();
    if (m_successes < m_options.successesPerSlot * m_limit || now - m_windowStart < m_options.minWindowDuration) {
        return;
    }
    m_limit *= 2;
    m_successes = 0;
    m_windowStart = now;
    m_isRamping = m_limit < m_maximum;
}

unsigned ColdStartRamp::limit() const
{
    return m_isRamping ? std::min(m_limit, m_maximum) : m_maximum;
}

} // namespace Toucandeck
