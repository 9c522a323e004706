#include "consensus/quorum.h"
#include "consensus/replica_core.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck::internal
{

namespace
{

void toWire(const LogEntry &entry, wire::ReplicaEntry *message)
{
    message->set_index(entry.index.value);
    message->set_term(entry.term.value);
    message->set_data(entry.data);
    switch (entry.kind) {
    case EntryKind::Command:
        return message->set_kind(wire::ReplicaEntry::COMMAND);
    case EntryKind::Membership:
        return message->set_kind(wire::ReplicaEntry::MEMBERSHIP);
    case EntryKind::Noop:
        return message->set_kind(wire::ReplicaEntry::NOOP);
    }
}

} // namespace

void ReplicaCore::tickLeader()
{
    if (!hasContactWithQuorumOf(m_log.membership())) {
        return stepDown("no quorum answered within an election timeout");
    }
    if (m_clock.now() < m_nextHeartbeat) {
        return;
    }
    m_heartbeatDue = true;
    m_nextHeartbeat = m_clock.now() + m_options.heartbeat;
    std::erase_if(m_roundStarts, [this](const auto &it) { return it.second < m_clock.now() - m_options.electionTimeoutMax; });
    for (auto &[replica, progress] : m_progress) {
        progress.unansweredAppends = 0;
        progress.isChunkUnanswered = false;
    }
}

bool ReplicaCore::hasContactWithQuorumOf(const Membership &membership, ReplicaId except) const
{
    const auto oldest = m_clock.now() - m_options.electionTimeoutMax;
    return isQuorum(membership, [this, oldest, except](ReplicaId replica) {
        if (replica == m_id || replica == except) {
            return replica != except;
        }
        const auto it = m_progress.find(replica);
        return it != m_progress.end() && it->second.lastContact >= oldest;
    });
}

void ReplicaCore::refreshProgress()
{
    const auto &membership = m_log.membership();
    std::erase_if(m_progress, [&membership](const auto &it) { return membership.find(it.first) == nullptr; });
    for (const auto &it : membership.members) {
        if (it.replica == m_id || m_progress.contains(it.replica)) {
            continue;
        }
        Progress progress;
        progress.nextIndex = LogIndex{ m_log.lastIndex().value + 1 };
        progress.lastContact = m_clock.now();
        m_progress.emplace(it.replica, std::move(progress));
    }
}

void ReplicaCore::sendAppends(ReplicaId to, Progress &progress, bool heartbeat)
{
    bool sent = false;
    // An unresponsive replica gets only heartbeats: each resent append message would carry up to appendBytes of entries.
    const bool isResponsive = m_clock.now() - progress.lastContact <= m_options.electionTimeoutMax;
    while (isResponsive && !progress.snapshotInTransfer && progress.nextIndex <= m_log.lastIndex()) {
        const auto limit = progress.isProbing ? 1 : m_options.appendsInFlight;
        if (progress.unansweredAppends >= limit || !sendEntries(to, progress)) {
            break;
        }
        sent = true;
    }
    if (isResponsive && progress.snapshotInTransfer) {
        sendChunk(to, progress);
    }
    if (heartbeat && !sent) {
        const LogIndex previous{ progress.nextIndex.value - 1 };
        const auto known = m_log.termAt(previous);
        // If the previous entry is compacted, the follower needs a snapshot and rejects the message, which then only serves as a
        // heartbeat.
        const auto base = known ? previous : m_log.lastIndex();
        sendAppend(to, base, *m_log.termAt(base), {});
    }
}

bool ReplicaCore::sendEntries(ReplicaId to, Progress &progress)
{
    const LogIndex previous{ progress.nextIndex.value - 1 };
    const auto previousTerm = m_log.termAt(previous);
    if (!previousTerm) {
        startSnapshotFor(progress);
        return false;
    }
    const auto entries = nextEntries(progress.nextIndex);
    sendAppend(to, previous, *previousTerm, entries);
    ++progress.unansweredAppends;
    if (!progress.isProbing) {
        progress.nextIndex.value += entries.size();
    }
    return true;
}

std::vector<LogEntry> ReplicaCore::nextEntries(LogIndex from) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (auto index = from; index <= m_log.lastIndex(); ++index.value) {
        const auto &entry = m_log.at(index);
        bytes += entry.data.size();
        if (!entries.empty() && bytes > m_options.appendBytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

void ReplicaCore::sendAppend(ReplicaId to, LogIndex previous, Term previousTerm, std::span<const LogEntry> entries)
{
    auto message = createMessage(to);
    auto *request = message.mutable_append_request();
    request->set_previous_index(previous.value);
    request->set_previous_term(previousTerm.value);
    request->set_commit_index(m_commitIndex.value);
    request->set_read_round(m_lastRound);
    for (const auto &it : entries) {
        toWire(it, request->add_entries());
    }
    m_transport.send(to, message);
}

void ReplicaCore::onAppendReply(const wire::ReplicaMessage &message)
{
    const auto found = m_progress.find(ReplicaId{ message.from() });
    if (m_role != Role::Leader || found == m_progress.end()) {
        return;
    }
    auto &progress = found->second;
    const auto &reply = message.append_reply();
    progress.lastContact = m_clock.now();
    recordAckedRound(progress, reply.read_round());
    progress.unansweredAppends -= std::min<std::size_t>(progress.unansweredAppends, 1);
    const LogIndex index{ reply.index() };
    if (!reply.accepted()) {
        return onAppendRejected(progress, index);
    }
    TOUCANDECK_ASSERT(index <= m_log.lastIndex(), "a follower acknowledges only what the leader has sent");
    progress.matchIndex = std::max(progress.matchIndex, index);
    progress.nextIndex = std::max(progress.nextIndex, LogIndex{ progress.matchIndex.value + 1 });
    progress.isProbing = false;
    if (progress.snapshotInTransfer && progress.matchIndex >= progress.snapshotInTransfer->lastIndex) {
        progress.snapshotInTransfer.reset();
    }
}

void ReplicaCore::recordAckedRound(Progress &progress, std::uint64_t round)
{
    const auto start = m_roundStarts.find(round);
    if (start == m_roundStarts.end() || round <= progress.ackedRound) {
        return;
    }
    progress.ackedRound = round;
    progress.ackedRoundStart = start->second;
}

bool ReplicaCore::isConfirmedLeader() const
{
    if (m_role != Role::Leader || m_failure) {
        return false;
    }
    // A follower refuses votes for electionTimeoutMin after each message of the leader that it acknowledged. It receives the message
    // after the round has started here. The margin covers the drift of both clocks, 1,000 ppm each.
    constexpr int kDriftMarginDivisor = 100;
    const auto oldest = m_clock.now() - (m_options.electionTimeoutMin - m_options.electionTimeoutMin / kDriftMarginDivisor);
    return isQuorum(m_log.membership(), [this, oldest](ReplicaId replica) {
        const auto it = m_progress.find(replica);
        return replica == m_id || (it != m_progress.end() && it->second.ackedRound > 0 && it->second.ackedRoundStart > oldest);
    });
}

void ReplicaCore::onAppendRejected(Progress &progress, LogIndex hint)
{
    // A hint at or before the last matching entry, or at or after the next entry to send, comes from a late duplicate.
    if (progress.snapshotInTransfer || hint <= progress.matchIndex || hint >= progress.nextIndex) {
        return;
    }
    progress.nextIndex = hint;
    progress.isProbing = true;
    progress.unansweredAppends = 0;
}

bool ReplicaCore::isSyncedOnQuorum(LogIndex index) const
{
    return isQuorum(m_log.membership(), [this, index](ReplicaId replica) { return syncedIndexOf(replica) >= index; });
}

void ReplicaCore::advanceLeaderCommit()
{
    std::vector<LogIndex> candidates;
    for (const auto &it : m_log.membership().members) {
        candidates.push_back(syncedIndexOf(it.replica));
    }
    std::sort(candidates.rbegin(), candidates.rend());
    for (const auto index : candidates) {
        // An entry of an earlier term is committed only together with a later entry of the current term. Until then a replica
        // without that entry could still be elected (leader completeness).
        if (index <= m_commitIndex || m_log.termAt(index) != m_hardState.term) {
            return;
        }
        if (isSyncedOnQuorum(index)) {
            return setCommit(index);
        }
    }
}

LogIndex ReplicaCore::syncedIndexOf(ReplicaId member) const
{
    if (m_role != Role::Leader) {
        return {};
    }
    if (member == m_id) {
        return m_syncedIndex;
    }
    const auto it = m_progress.find(member);
    return it == m_progress.end() ? LogIndex{} : it->second.matchIndex;
}

bool ReplicaCore::isNeededForQuorum(ReplicaId member) const
{
    return m_role == Role::Leader && !hasContactWithQuorumOf(m_log.membership(), member);
}

} // namespace Toucandeck::internal
