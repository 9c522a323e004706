#pragma once

#include "consensus/log_entry.h"

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace Toucandeck::internal
{

/// In-memory log: the entries after a base entry (the last compacted one), and the memberships that they contain.
class ReplicaLog
{
public:
    ReplicaLog();

    LogIndex lastIndex() const;
    Term lastTerm() const;

    /// True if the log has never had an entry; false for a fully compacted log.
    bool isEmpty() const;

    /// Term of the entry, which may be the base; nothing if it is before the base or after the end.
    std::optional<Term> termAt(LogIndex index) const;

    /// @p index must be after the base and not after the end.
    const LogEntry &at(LogIndex index) const;

    /// First index in memory of the entries that have the same term as the entry at @p index.
    LogIndex firstOfTerm(LogIndex index) const;

    void append(LogEntry entry);
    void truncateFrom(LogIndex index);

    /// Index up to which the log can be compacted so that of the entries up to @p last only the latest stay: at most @p maxEntries entries,
    /// with at most @p maxBytes bytes of data.
    LogIndex compactionIndex(LogIndex last, std::uint64_t maxEntries, std::size_t maxBytes) const;

    /// Drops the entries up to the index. The entry at the index becomes the base.
    void compactTo(LogIndex index);

    /// Drops all entries and makes the snapshot's last entry the base.
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

/// Parses the data of an entry of kind Membership. Returns nothing if the entry is of another kind or malformed.
std::optional<Membership> membershipOf(const LogEntry &entry);

} // namespace Toucandeck::internal
