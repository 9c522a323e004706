#include "common/clock.h"

#include "common/assert.h"

#include <ctime>

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

TimePoint BootClock::now() const
{
    timespec ts{};
    const int ec = ::clock_gettime(CLOCK_BOOTTIME, &ts);
    TOUCANDECK_ASSERT(ec == 0, "every Linux kernel in use has CLOCK_BOOTTIME");
    return TimePoint(std::chrono::seconds(ts.tv_sec) + Duration(ts.tv_nsec));
}

WallTime BootClock::wallNow() const
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
