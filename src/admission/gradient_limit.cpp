#include "admission/gradient_limit.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

constexpr unsigned kMinLimit = kMaxDepth + 1; // one slot per depth, so that nested calls never block each other
constexpr double kLatencyTolerance = 2; // latency may double before the limit shrinks; service times vary by as much
constexpr double kShortTermWeight = 1.0 / 10; // short-term average over about 10 answers
constexpr double kLongTermWeight = 1.0 / 500;
constexpr double kLongTermFallWeight = 1.0 / 50; // faster, so that the long-term average recovers soon after a slow phase
constexpr double kSmoothing = 0.2;
constexpr double kBackoffFactor = 0.9;

void updateAverage(double &mean, double value, double weight)
{
    mean = mean == 0 ? value : mean + weight * (value - mean);
}

} // namespace

void GradientLimit::setMaximum(unsigned slots)
{
    // A limit at the old maximum follows it; a lower, learned limit stays unless the new maximum is below it.
    m_limit = m_limit >= m_maximum ? slots : std::min<double>(m_limit, slots);
    m_maximum = slots;
}

void GradientLimit::record(const LimitSample &sample)
{
    if (sample.kind == AnswerKind::Shed) {
        m_limit *= kBackoffFactor;
    } else if (sample.kind == AnswerKind::Ok) {
        adjustToLatency(sample);
    }
    m_limit = std::min<double>(std::max<double>(m_limit, kMinLimit), m_maximum);
}

void GradientLimit::adjustToLatency(const LimitSample &sample)
{
    const auto seconds = std::chrono::duration<double>(sample.latency).count();
    updateAverage(m_shortTermSeconds, seconds, kShortTermWeight);
    updateAverage(m_longTermSeconds, seconds, seconds < m_longTermSeconds ? kLongTermFallWeight : kLongTermWeight);
    if (m_shortTermSeconds <= 0 || 2 * sample.inFlight < limit()) {
        return;
    }
    const auto gradient = std::clamp(kLatencyTolerance * m_longTermSeconds / m_shortTermSeconds, 0.5, 1.0);
    const auto target = m_limit * gradient + std::sqrt(m_limit);
    m_limit += kSmoothing * (target - m_limit);
}

unsigned GradientLimit::limit() const
{
    return static_cast<unsigned>(m_limit);
}

} // namespace Toucandeck
