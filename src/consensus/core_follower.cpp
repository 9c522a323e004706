#include "consensus/events.h"
#include "consensus/replica_core.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck::internal
{

namespace
{

/// Reason why the append request is invalid; empty if it is valid.
std::string_view appendRequestFault(const wire::AppendRequest &request, std::uint64_t term)
{
    auto index = request.previous_index();
    auto previousTerm = request.previous_term();
    for (const auto &it : request.entries()) {
        if (it.index() != ++index) {
            return "entries are not consecutive";
        }
        if (it.term() < previousTerm || it.term() > term) {
            return "terms of entries decrease or exceed the term of the message";
        }
        wire::MembershipConfig config;
        if (it.kind() == wire::ReplicaEntry::MEMBERSHIP && !config.ParseFromString(it.data())) {
            return "membership entry cannot be parsed";
        }
        previousTerm = it.term();
    }
    return {};
}

LogEntry fromWire(const wire::ReplicaEntry &entry)
{
    auto kind = EntryKind::Command;
    if (entry.kind() == wire::ReplicaEntry::MEMBERSHIP) {
        kind = EntryKind::Membership;
    } else if (entry.kind() == wire::ReplicaEntry::NOOP) {
        kind = EntryKind::Noop;
    }
    return { LogIndex{ entry.index() }, Term{ entry.term() }, kind, entry.data() };
}

} // namespace

void ReplicaCore::followLeader(ReplicaId from)
{
    TOUCANDECK_ASSERT(!m_termLeader || *m_termLeader == from, "a term has at most one leader");
    m_termLeader = from;
    becomeFollower(m_hardState.term, from);
    m_lastLeaderContact = m_clock.now();
    resetElectionTimer();
}

void ReplicaCore::onAppendRequest(const wire::ReplicaMessage &message)
{
    const auto &request = message.append_request();
    if (const auto reason = appendRequestFault(request, message.term()); !reason.empty()) {
        return dropMalformed(message, reason);
    }
    followLeader(ReplicaId{ message.from() });
    if (const auto hint = conflictHint(request)) {
        return replyToAppend(message, false, *hint);
    }
    if (!mergeEntries(request)) {
        return;
    }
    const LogIndex matched{ request.previous_index() + static_cast<std::uint64_t>(request.entries_size()) };
    m_leaderCommit = std::max(m_leaderCommit, std::min(LogIndex{ request.commit_index() }, matched));
    replyToAppend(message, true, matched);
}

std::optional<LogIndex> ReplicaCore::conflictHint(const wire::AppendRequest &request) const
{
    const LogIndex previous{ request.previous_index() };
    if (previous > m_log.lastIndex()) {
        return LogIndex{ m_log.lastIndex().value + 1 };
    }
    // Committed entries always equal those of the leader, including compacted ones, whose term is unknown here.
    if (previous <= m_commitIndex || m_log.termAt(previous) == Term{ request.previous_term() }) {
        return std::nullopt;
    }
    return std::max(m_log.firstOfTerm(previous), LogIndex{ m_commitIndex.value + 1 });
}

bool ReplicaCore::mergeEntries(const wire::AppendRequest &request)
{
    for (const auto &it : request.entries()) {
        const LogIndex index{ it.index() };
        const auto known = m_log.termAt(index);
        if (index <= m_commitIndex) {
            TOUCANDECK_ASSERT(!known || *known == Term{ it.term() }, "a committed entry never changes");
            continue;
        }
        if (known == Term{ it.term() }) {
            if (m_log.at(index) != fromWire(it)) {
                stop({ ErrorCode::Corrupt,
                       fmt::format("entry {} differs from the leader's; the initial memberships may have differed", it.index()) });
                return false;
            }
            continue;
        }
        if (known) {
            truncateLog(index);
        }
        if (m_failure || !appendToLog(fromWire(it))) {
            return false;
        }
    }
    return true;
}

void ReplicaCore::replyToAppend(const wire::ReplicaMessage &message, bool accepted, LogIndex index)
{
    auto reply = createMessage(ReplicaId{ message.from() });
    reply.mutable_append_reply()->set_accepted(accepted);
    reply.mutable_append_reply()->set_index(index.value);
    reply.mutable_append_reply()->set_read_round(message.append_request().read_round());
    enqueue(std::move(reply));
}

void ReplicaCore::setCommit(LogIndex index)
{
    TOUCANDECK_ASSERT(index >= m_commitIndex, "the commit index never decreases");
    TOUCANDECK_ASSERT(index <= m_log.lastIndex(), "only entries that exist are committed");
    m_commitIndex = index;
}

void ReplicaCore::applyCommitted()
{
    TOUCANDECK_ASSERT(m_commitIndex <= m_syncedIndex, "only entries synced on this replica are applied");
    while (m_appliedIndex < m_commitIndex) {
        ++m_appliedIndex.value;
        applyEntry(m_log.at(m_appliedIndex));
    }
}

void ReplicaCore::applyEntry(const LogEntry &entry)
{
    TOUCANDECK_ASSERT(entry.index == m_appliedIndex, "entries are applied once each and in order");
    m_unsnapshottedBytes += entry.data.size();
    if (entry.kind == EntryKind::Command) {
        m_machine.apply(entry.index, entry.data);
    }
    completeProposal(entry.index);
    if (entry.kind == EntryKind::Membership) {
        onMembershipCommitted();
    }
}

void ReplicaCore::onMembershipCommitted()
{
    const auto &membership = m_log.membershipAt(m_appliedIndex);
    m_logger.write(ConsensusEvents::kMembershipCommitted,
                   { field("index", m_appliedIndex.value), field("members", membership.members.size()) });
    if (m_role == Role::Leader && !m_log.membership().isVoter(m_id)) {
        stepDown("it is no longer a voter");
    }
}

} // namespace Toucandeck::internal
