#pragma once

#include "log/event.h"

namespace Toucandeck::FleetEvents
{

inline constexpr Event kReplicaStarted{ 10100, LogLevel::Info, "replica_started", "A controller opened its data folder." };
inline constexpr Event kJoinAsked{ 10102, LogLevel::Info, "join_asked", "A controller that is not a member requested to join." };
inline constexpr Event kMembershipChange{
    10103, LogLevel::Info, "membership_change", "The leader proposed to add or remove a controller."
};
inline constexpr Event kMembershipRefused{
    10104, LogLevel::Warning, "membership_refused", "A membership change of the controllers was not possible; it is retried."
};
inline constexpr Event kLeadershipGained{ 10105, LogLevel::Info, "leadership_gained", "This controller became the leader." };
inline constexpr Event kLeadershipLost{ 10106, LogLevel::Warning, "leadership_lost", "This controller is no longer the leader." };
inline constexpr Event kStorageFailed{
    10107, LogLevel::Error, "storage_failed", "The log could not be written to storage; the process exits so that a restart reloads it."
};
inline constexpr Event kCommandIgnored{
    10108, LogLevel::Error, "command_ignored", "A committed command cannot be read; it has no effect on any controller."
};
inline constexpr Event kOrderDecided{
    10110, LogLevel::Info, "order_decided", "An operator's order was accepted, refused, or could not be decided."
};
inline constexpr Event kManifestApplied{ 10111, LogLevel::Info, "manifest_applied", "This controller applied a committed manifest." };
inline constexpr Event kManifestUnreadable{ 10113,
                                            LogLevel::Error,
                                            "manifest_unreadable",
                                            "A committed manifest cannot be decoded; the previous one stays in force at the gateways." };
inline constexpr Event kEvacuationApplied{
    10112, LogLevel::Info, "evacuation_applied", "The evacuation of a failure domain was started or ended."
};
inline constexpr Event kKeysAssigned{ 10120, LogLevel::Info, "keys_assigned", "Keys were assigned to a new holder." };
inline constexpr Event kKeysReleasing{ 10121, LogLevel::Info, "keys_releasing", "A holder was asked to release keys." };
inline constexpr Event kHolderLost{
    10122, LogLevel::Warning, "holder_lost", "The lease of a holder expired or its process terminated; its keys are reassigned."
};
inline constexpr Event kRouterSeen{ 10130, LogLevel::Info, "router_seen", "A router or its backend server reported a new state." };
inline constexpr Event kRouterSilent{ 10131, LogLevel::Warning, "router_silent", "A router has sent no announcement for several seconds." };

} // namespace Toucandeck::FleetEvents
