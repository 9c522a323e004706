#pragma once

#include "consensus/membership.h"

#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Kind of the content of a log entry.
enum class EntryKind {
    Command, ///< Command for the state machine.
    Membership, ///< Serialised wire::MembershipConfig.
    Noop, ///< First entry of each term; commits the entries of earlier terms.
};

/// One entry of the replicated log.
struct LogEntry
{
    LogIndex index;
    Term term;
    EntryKind kind = EntryKind::Command;
    std::string data;

    bool operator==(const LogEntry &) const = default;
};

/// State that must be synced before a message that depends on it is sent.
struct HardState
{
    Term term;
    ReplicaId votedFor; ///< Candidate voted for in @c term; zero if none.

    bool operator==(const HardState &) const = default;
};

/// State of the state machine after the entry @c lastIndex.
struct Snapshot
{
    LogIndex lastIndex;
    Term lastTerm;
    Membership membership; ///< Latest membership at or before @c lastIndex.
    std::string data;

    bool operator==(const Snapshot &) const = default;
};

/// Complete stored state of a replica.
struct StoredState
{
    ReplicaId replica; ///< Identity, assigned when the store is created.
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries; ///< Entries after the snapshot, without gaps.
};

/// Removes the entries up to the snapshot's index, or all entries if the entry at that index has another term or is missing.
void discardEntriesCoveredBy(StoredState &state, const Snapshot &snapshot);

} // namespace Toucandeck
