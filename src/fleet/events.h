#pragma once

#include "log/event.h"

namespace Toucandeck::FleetEvents
{

inline constexpr Event kReplicaStarted{ 10100, LogLevel::Info, "replica_started", "A controller opened its data folder." };
inline constexpr Event kJoinAsked{ 10102, LogLevel::Info, "join_asked", "A controller that is not a member asked to be taken in." };
inline constexpr Event kMembershipChange{
    10103, LogLevel::Info, "membership_change", "The leader proposed to add or remove a controller."
};
inline constexpr Event kMembershipRefused{
    10104, LogLevel::Warning, "membership_refused", "A change of the controllers was not possible now; it is tried again."
};
inline constexpr Event kLeadershipGained{ 10105, LogLevel::Info, "leadership_gained", "This controller leads." };
inline constexpr Event kLeadershipLost{ 10106, LogLevel::Warning, "leadership_lost", "This controller no longer leads." };
inline constexpr Event kStorageFailed{
    10107, LogLevel::Error, "storage_failed", "The log could not be stored; the process ends to load it anew."
};
inline constexpr Event kOrderDecided{
    10110, LogLevel::Info, "order_decided", "An operator's order was accepted, refused or left without an answer."
};
inline constexpr Event kManifestApplied{
    10111, LogLevel::Info, "manifest_applied", "A committed manifest is in force at this controller."
};
inline constexpr Event kManifestUnreadable{
    10113, LogLevel::Error, "manifest_unreadable", "A committed manifest cannot be read; the one before stays in force."
};
inline constexpr Event kEvacuationApplied{ 10112, LogLevel::Info, "evacuation_applied", "A failure domain was evacuated or taken back." };
inline constexpr Event kKeysAssigned{ 10120, LogLevel::Info, "keys_assigned", "Keys have a new holder." };
inline constexpr Event kKeysReleasing{ 10121, LogLevel::Info, "keys_releasing", "A holder was asked to release keys." };
inline constexpr Event kHolderLost{
    10122, LogLevel::Warning, "holder_lost", "The lease of a holder has ended, or its process has; its keys are assigned anew."
};
inline constexpr Event kRouterSeen{ 10130, LogLevel::Info, "router_seen", "A router or its backend server reported a new state." };
inline constexpr Event kRouterSilent{ 10131, LogLevel::Warning, "router_silent", "A router has not reported for a while." };

} // namespace Toucandeck::FleetEvents
