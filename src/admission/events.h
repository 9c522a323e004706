#pragma once

#include "log/event.h"

/// Events of module admission, 5000 to 5999.
namespace Toucandeck::Events
{

inline constexpr Event kColdStartDetected{
    5001, LogLevel::Warning, "cold_start_detected", "Answers show that the backend server turned cold; the ramp restarts."
};
inline constexpr Event kColdStartAnnounced{
    5002, LogLevel::Info, "cold_start_announced", "The backend server announced a cold start; the ramp restarts."
};
inline constexpr Event kLimitsChanged{
    5003, LogLevel::Info, "limits_changed", "The table changed the slots, connections or state of the backend server."
};

} // namespace Toucandeck::Events
