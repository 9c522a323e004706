#pragma once

#include <chrono>

namespace Toucandeck
{

/// Length of time; nanosecond resolution.
using Duration = std::chrono::nanoseconds;

/// Point on the monotonic clock of this VM. Not comparable between VMs.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Point on the wall clock, in milliseconds since the Unix epoch. May jump.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace Toucandeck
