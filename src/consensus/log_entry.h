#pragma once

#include "consensus/membership.h"

#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

/// What an entry of the replicated log holds.
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
    ReplicaId votedFor; ///< Vote in @c term; zero if none was given.

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

/// Everything that a replica has stored.
struct StoredState
{
    ReplicaId replica; ///< Identity of the store, created with it.
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries; ///< Entries after the snapshot, without gaps.
};

/// Removes the entries that a snapshot replaces: those up to its index, and all if the entry at its index has another term
/// or is missing.
void replaceBySnapshot(StoredState &state, const Snapshot &snapshot);

} // namespace Toucandeck
