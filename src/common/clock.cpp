#include "common/clock.h"

#include "common/assert.h"

namespace Toucandeck
{

TimePoint SystemClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

TimePoint ManualClock::now() const
{
    return m_now;
}

WallTime ManualClock::wallNow() const
{
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()) + m_wallOffset);
}

void ManualClock::advance(Duration step)
{
    TOUCANDECK_ASSERT(step >= Duration::zero(), "a monotonic clock never runs backwards");
    m_now += step;
}

void ManualClock::adjustWall(std::chrono::milliseconds step)
{
    m_wallOffset += step;
}

} // namespace Toucandeck
