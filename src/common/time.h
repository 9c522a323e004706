#pragma once

#include <chrono>
#include <cstdint>

namespace Toucandeck
{

/// Length of time; nanosecond resolution.
using Duration = std::chrono::nanoseconds;

/// Point on the monotonic clock of this VM. Not comparable between VMs.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Point on the wall clock, in milliseconds since the Unix epoch. May jump.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Whole milliseconds, for log lines and text.
inline std::int64_t wholeMs(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace Toucandeck
