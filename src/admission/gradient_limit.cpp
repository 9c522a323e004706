#include "admission/gradient_limit.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

constexpr unsigned kLowest = kMaxDepth + 1; // one slot per depth, so that nested calls never block each other
constexpr double kTolerance = 2; // latency may double before the limit shrinks; service times vary by as much
constexpr double kShortShare = 1.0 / 10; // short-term average over about 10 answers
constexpr double kLongShare = 1.0 / 500;
constexpr double kLongFallShare = 1.0 / 50; // the long-term average must forget a slow phase soon after it
constexpr double kSmoothing = 0.2;
constexpr double kBackoff = 0.9;

void average(double &mean, double value, double share)
{
    mean = mean == 0 ? value : mean + share * (value - mean);
}

} // namespace

void GradientLimit::setMaximum(unsigned slots)
{
    // A limit that was at the old maximum follows it; a learned one stays.
    m_limit = m_limit >= m_maximum ? slots : std::min<double>(m_limit, slots);
    m_maximum = slots;
}

void GradientLimit::record(const LimitSample &sample)
{
    if (sample.kind == AnswerKind::Shed) {
        m_limit *= kBackoff;
    } else if (sample.kind == AnswerKind::Ok) {
        follow(sample);
    }
    m_limit = std::min<double>(std::max<double>(m_limit, kLowest), m_maximum);
}

void GradientLimit::follow(const LimitSample &sample)
{
    const auto seconds = std::chrono::duration<double>(sample.latency).count();
    average(m_shortSeconds, seconds, kShortShare);
    average(m_longSeconds, seconds, seconds < m_longSeconds ? kLongFallShare : kLongShare);
    if (m_shortSeconds <= 0 || 2 * sample.inFlight < limit()) {
        return;
    }
    const auto gradient = std::clamp(kTolerance * m_longSeconds / m_shortSeconds, 0.5, 1.0);
    const auto wanted = m_limit * gradient + std::sqrt(m_limit);
    m_limit += kSmoothing * (wanted - m_limit);
}

unsigned GradientLimit::limit() const
{
    return static_cast<unsigned>(m_limit);
}

} // namespace Toucandeck
