#pragma once

#include "consensus/log_entry.h"

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace Toucandeck::internal
{

/// Log entries in memory after a base entry, and the memberships that they contain.
class ReplicaLog
{
public:
    ReplicaLog();

    LogIndex lastIndex() const;
    Term lastTerm() const;

    /// True if the log has no entry and never had one.
    bool isEmpty() const;

    /// Term of the entry; nothing if it is before the base or after the end.
    std::optional<Term> termAt(LogIndex index) const;

    /// @p index must be after the base and not after the end.
    const LogEntry &at(LogIndex index) const;

    /// First index of the run of entries with the same term that contains @p index.
    LogIndex firstOfTerm(LogIndex index) const;

    void append(LogEntry entry);
    void truncateFrom(LogIndex index);

    /// Drops the entries up to the index; the one at the index becomes the base.
    void compactTo(LogIndex index);

    /// Drops everything and makes the snapshot's last entry the base.
    void resetTo(const Snapshot &snapshot);

    /// Latest membership, committed or not.
    const Membership &membership() const;

    /// Index of the entry with the latest membership.
    LogIndex membershipIndex() const;

    /// Latest membership at or before the index.
    const Membership &membershipAt(LogIndex index) const;

private:
    LogIndex m_baseIndex;
    Term m_baseTerm;
    std::deque<LogEntry> m_entries;
    std::vector<std::pair<LogIndex, Membership>> m_memberships; ///< Ascending; never empty.
};

/// Reads the data of an entry of kind Membership; nothing if it is malformed.
std::optional<Membership> membershipOf(const LogEntry &entry);

} // namespace Toucandeck::internal
