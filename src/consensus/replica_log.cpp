#include "consensus/replica_log.h"

#include "common/assert.h"

namespace Toucandeck::internal
{

ReplicaLog::ReplicaLog()
    : m_memberships{ { LogIndex{}, Membership{} } }
{
}

LogIndex ReplicaLog::lastIndex() const
{
    return LogIndex{ m_baseIndex.value + m_entries.size() };
}

Term ReplicaLog::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

bool ReplicaLog::isEmpty() const
{
    return !lastIndex();
}

std::optional<Term> ReplicaLog::termAt(LogIndex index) const
{
    if (index == m_baseIndex) {
        return m_baseTerm;
    }
    if (index < m_baseIndex || index > lastIndex()) {
        return std::nullopt;
    }
    return at(index).term;
}

const LogEntry &ReplicaLog::at(LogIndex index) const
{
    TOUCANDECK_ASSERT(index > m_baseIndex && index <= lastIndex(), "the entry is in memory");
    return m_entries[index.value - m_baseIndex.value - 1];
}

LogIndex ReplicaLog::firstOfTerm(LogIndex index) const
{
    const auto term = termAt(index);
    while (index.value > m_baseIndex.value + 1 && termAt(LogIndex{ index.value - 1 }) == term) {
        --index.value;
    }
    return index;
}

void ReplicaLog::append(LogEntry entry)
{
    TOUCANDECK_ASSERT(entry.index.value == lastIndex().value + 1, "the log has no gaps");
    TOUCANDECK_ASSERT(entry.term >= lastTerm(), "terms in the log never decrease");
    if (entry.kind == EntryKind::Membership) {
        auto membership = membershipOf(entry);
        TOUCANDECK_ASSERT(membership.has_value(), "a membership entry in the log is well formed");
        m_memberships.emplace_back(entry.index, std::move(*membership));
    }
    m_entries.push_back(std::move(entry));
}

void ReplicaLog::truncateFrom(LogIndex index)
{
    TOUCANDECK_ASSERT(index > m_baseIndex, "the base and the entries before it are committed");
    while (lastIndex() >= index) {
        m_entries.pop_back();
    }
    while (m_memberships.back().first >= index) {
        m_memberships.pop_back();
    }
}

LogIndex ReplicaLog::compactionIndex(LogIndex last, std::uint64_t maxEntries, std::size_t maxBytes) const
{
    auto index = last;
    std::size_t bytes = 0;
    while (index > m_baseIndex && last.value - index.value < maxEntries) {
        bytes += at(index).data.size();
        if (bytes > maxBytes) {
            break;
        }
        --index.value;
    }
    return index;
}

void ReplicaLog::compactTo(LogIndex index)
{
    while (m_baseIndex < index) {
        TOUCANDECK_ASSERT(!m_entries.empty(), "only entries that exist are compacted");
        m_baseIndex = m_entries.front().index;
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
    }
    while (m_memberships.size() > 1 && m_memberships[1].first <= m_baseIndex) {
        m_memberships.erase(m_memberships.begin());
    }
}

void ReplicaLog::resetTo(const Snapshot &snapshot)
{
    m_entries.clear();
    m_baseIndex = snapshot.lastIndex;
    m_baseTerm = snapshot.lastTerm;
    m_memberships = { { snapshot.lastIndex, snapshot.membership } };
}

const Membership &ReplicaLog::membership() const
{
    return m_memberships.back().second;
}

LogIndex ReplicaLog::membershipIndex() const
{
    return m_memberships.back().first;
}

const Membership &ReplicaLog::membershipAt(LogIndex index) const
{
    for (auto it = m_memberships.rbegin(); it != m_memberships.rend(); ++it) {
        if (it->first <= index) {
            return it->second;
        }
    }
    return m_memberships.front().second;
}

std::optional<Membership> membershipOf(const LogEntry &entry)
{
    wire::MembershipConfig config;
    if (entry.kind != EntryKind::Membership || !config.ParseFromString(entry.data)) {
        return std::nullopt;
    }
    return fromWire(config);
}

} // namespace Toucandeck::internal
