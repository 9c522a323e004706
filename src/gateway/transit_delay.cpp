#include "gateway/transit_delay.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

/// Clocks of VMs may differ in speed by this share. The least offset rises at this rate, so that a difference is not taken for a delay.
constexpr double kMaxClockDrift = 0.03;

} // namespace

Duration TransitDelay::excess(Duration sentAt, TimePoint now)
{
    const Duration offset = now.time_since_epoch() - sentAt;
    if (m_leastOffset) {
        const auto drift = std::chrono::duration_cast<Duration>((now - m_updatedAt) * kMaxClockDrift);
        m_leastOffset = std::min(*m_leastOffset + drift, offset);
    } else {
        m_leastOffset = offset;
    }
    m_updatedAt = now;
    return offset - *m_leastOffset;
}

} // namespace Toucandeck
