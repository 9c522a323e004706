#include "admission/aimd_limit.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr double kBackoffFactor = 0.9;
constexpr unsigned kMinLimit = kMaxDepth + 1; // one slot per depth, so that nested calls never block each other

} // namespace

void AimdLimit::setMaximum(unsigned slots)
{
    // A limit at the old maximum follows it; a lower, learned limit stays unless the new maximum is below it.
    m_limit = m_limit >= m_maximum ? slots : std::min<double>(m_limit, slots);
    m_maximum = slots;
}

void AimdLimit::record(const LimitSample &sample)
{
    if (sample.kind == AnswerKind::Cancelled) {
        return;
    }
    if (sample.kind != AnswerKind::Ok) {
        m_limit *= kBackoffFactor;
    } else if (2 * sample.inFlight >= limit()) {
        m_limit += 1 / std::max(m_limit, 1.0);
    }
    m_limit = std::min<double>(std::max<double>(m_limit, kMinLimit), m_maximum);
}

unsigned AimdLimit::limit() const
{
    return static_cast<unsigned>(m_limit);
}

} // namespace Toucandeck
