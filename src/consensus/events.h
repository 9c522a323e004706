#pragma once

#include "log/event.h"

namespace Toucandeck::ConsensusEvents
{

inline constexpr Event kLogStarted{ 1000, LogLevel::Info, "log_started", "An empty log store is initialised with the initial membership." };
inline constexpr Event kElectionStarted{ 1001, LogLevel::Info, "election_started", "The replica requests votes in a new term." };
inline constexpr Event kLeaderElected{ 1002, LogLevel::Info, "leader_elected", "The replica was elected leader of this term." };
inline constexpr Event kLeaderSteppedDown{ 1003, LogLevel::Warning, "leader_stepped_down", "The replica stepped down as leader." };
inline constexpr Event kMembershipCommitted{ 1004, LogLevel::Info, "membership_committed", "A membership is committed." };
inline constexpr Event kLearnerPromoted{ 1005, LogLevel::Info, "learner_promoted", "The leader promotes a learner to voter." };
inline constexpr Event kSnapshotTaken{ 1006, LogLevel::Info, "snapshot_taken", "The replica stored a snapshot and compacted its log." };
inline constexpr Event kSnapshotInstalled{ 1007, LogLevel::Info, "snapshot_installed", "The leader's snapshot replaces the log." };
inline constexpr Event kReplicaStopped{ 1008, LogLevel::Error, "replica_stopped", "The store or state machine failed; the replica stops." };
inline constexpr Event kMessageDropped{ 1009, LogLevel::Warning, "replica_message_dropped", "A malformed replica message is dropped." };

} // namespace Toucandeck::ConsensusEvents
