#pragma once

#include "log/event.h"

namespace Toucandeck::OwnershipEvents
{

inline constexpr Event kLeading{
    3001, LogLevel::Info, "ownership_leading", "This controller starts to grant ownership; all sessions count as renewed."
};
inline constexpr Event kNotLeading{ 3002, LogLevel::Info, "ownership_not_leading", "This controller no longer grants ownership." };
inline constexpr Event kLeaseExpired{ 3003, LogLevel::Warning, "lease_expired", "The lease of a session expired without renewal." };
inline constexpr Event kLeaseRefused{
    3004, LogLevel::Warning, "lease_refused", "A renewal was refused because the view of the router is too old."
};
inline constexpr Event kDigestMismatch{
    3005, LogLevel::Error, "digest_mismatch", "A router's view differs from the state; it gets a full copy."
};
inline constexpr Event kLeaveTimeReached{ 3006, LogLevel::Info, "leave_time_reached", "A leave time of the table has been reached." };
inline constexpr Event kHotKeyMoved{ 3007, LogLevel::Info, "hot_key_moved", "A hot key gets another owner than its partition." };
inline constexpr Event kRegistered{ 3101, LogLevel::Info, "session_registered", "This router has registered a session." };
inline constexpr Event kLeaseLost{ 3102, LogLevel::Warning, "lease_lost", "The lease of this router has expired by its own clock." };
inline constexpr Event kSessionEnded{ 3103, LogLevel::Warning, "session_ended", "The controllers have ended this router's session." };
inline constexpr Event kSessionClosed{ 3104, LogLevel::Info, "session_closed", "This router has closed its session." };
inline constexpr Event kViewGap{ 3105, LogLevel::Debug, "view_gap", "A delta does not follow the view; the view is fetched." };

} // namespace Toucandeck::OwnershipEvents
