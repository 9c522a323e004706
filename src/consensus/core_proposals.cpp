#include "consensus/events.h"
#include "consensus/quorum.h"
#include "consensus/replica_core.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck::internal
{

LogIndex ReplicaCore::appendAsLeader(EntryKind kind, std::string data)
{
    TOUCANDECK_ASSERT(m_role == Role::Leader, "only a leader appends new entries");
    const LogIndex index{ m_log.lastIndex().value + 1 };
    if (appendToLog({ index, m_hardState.term, kind, std::move(data) }) && kind == EntryKind::Membership) {
        refreshProgress();
    }
    return index;
}

Result<LogIndex> ReplicaCore::propose(std::string command)
{
    if (m_role != Role::Leader) {
        return fail(ErrorCode::NotLeader, "this replica is not the leader");
    }
    const auto index = appendAsLeader(EntryKind::Command, std::move(command));
    if (m_failure) {
        return fail(m_failure->code, m_failure->message, Verdict::MayHaveRun);
    }
    return index;
}

Result<LogIndex> ReplicaCore::proposeMembership(const Membership &membership)
{
    BOOST_LEAF_CHECK(checkMembershipProposal(membership));
    const auto index = appendAsLeader(EntryKind::Membership, toWire(membership).SerializeAsString());
    if (m_failure) {
        return fail(m_failure->code, m_failure->message, Verdict::MayHaveRun);
    }
    return index;
}

Result<void> ReplicaCore::checkMembershipProposal(const Membership &membership) const
{
    if (m_role != Role::Leader) {
        return fail(ErrorCode::NotLeader, "this replica is not the leader");
    }
    // Without this check, two leaders could each change the membership of an earlier term and form disjoint quorums.
    if (!isLeaderReady()) {
        return fail(ErrorCode::Unavailable, "the leader has not committed an entry of its term yet");
    }
    if (m_log.membershipIndex() > m_commitIndex) {
        return fail(ErrorCode::Conflict, "the previous membership change is not committed yet");
    }
    BOOST_LEAF_CHECK(checkMembershipChange(m_log.membership(), membership));
    for (const auto &it : membership.members) {
        if (it.role == ReplicaRole::Voter && !m_log.membership().isVoter(it.replica) && !canPromote(it)) {
            return fail(ErrorCode::Refused, fmt::format("learner {:016x} has not synced all committed entries", it.replica.value));
        }
    }
    // A change takes effect at once. Without a responsive quorum it could neither be committed nor reverted.
    if (!hasContactWithQuorumOf(membership)) {
        return fail(ErrorCode::Refused, "the responsive voters are not a quorum of the new membership");
    }
    return {};
}

bool ReplicaCore::canPromote(const Member &member) const
{
    return syncedIndexOf(member.replica) >= m_commitIndex;
}

void ReplicaCore::promoteLearners()
{
    if (!isLeaderReady() || m_log.membershipIndex() > m_commitIndex) {
        return;
    }
    const auto &members = m_log.membership().members;
    const auto ready = [this](const Member &it) {
        return it.role == ReplicaRole::Learner && canPromote(it)
            && m_clock.now() - m_progress.at(it.replica).lastContact <= m_options.electionTimeoutMax;
    };
    const auto it = std::find_if(members.begin(), members.end(), ready);
    if (it == members.end()) {
        return;
    }
    auto voter = *it;
    voter.role = ReplicaRole::Voter;
    const auto promoted = m_log.membership().with(voter);
    if (!hasContactWithQuorumOf(promoted)) {
        return;
    }
    m_logger.write(ConsensusEvents::kLearnerPromoted, { field("replica", voter.replica.value), field("synced", m_commitIndex.value) });
    appendAsLeader(EntryKind::Membership, toWire(promoted).SerializeAsString());
}

void ReplicaCore::confirmLeadership(std::function<void(Result<void>)> callback)
{
    if (m_role != Role::Leader) {
        m_readyCallbacks.push_back(
            [callback = std::move(callback)] { callback(fail(ErrorCode::NotLeader, "this replica is not the leader")); });
        return;
    }
    // The leader knows which entries of earlier terms are committed only once an entry of its own term is committed.
    m_pendingReads.push_back({ m_lastRound + 1, std::max(m_commitIndex, m_termStartIndex), std::move(callback) });
}

void ReplicaCore::completeReads()
{
    if (m_role != Role::Leader) {
        return;
    }
    const auto confirmed = [this](std::uint64_t round) {
        return isQuorum(m_log.membership(), [this, round](ReplicaId replica) {
            const auto it = m_progress.find(replica);
            return replica == m_id || (it != m_progress.end() && it->second.ackedRound >= round);
        });
    };
    std::erase_if(m_pendingReads, [this, &confirmed](PendingRead &it) {
        if (it.round > m_lastRound || m_appliedIndex < it.minApplied || !confirmed(it.round)) {
            return false;
        }
        m_readyCallbacks.push_back([callback = std::move(it.callback)] { callback({}); });
        return true;
    });
}

void ReplicaCore::onOutcome(LogIndex index, std::function<void(ProposalOutcome)> callback)
{
    if (m_role != Role::Leader || m_log.termAt(index) != m_hardState.term) {
        m_readyCallbacks.push_back([callback = std::move(callback)] { callback(ProposalOutcome::LeaderChanged); });
    } else if (index <= m_appliedIndex) {
        m_readyCallbacks.push_back([callback = std::move(callback)] { callback(ProposalOutcome::Applied); });
    } else {
        m_outcomeCallbacks[index].push_back(std::move(callback));
    }
}

void ReplicaCore::completeProposal(LogIndex applied)
{
    const auto found = m_outcomeCallbacks.find(applied);
    if (found == m_outcomeCallbacks.end()) {
        return;
    }
    for (auto &it : found->second) {
        m_readyCallbacks.push_back([callback = std::move(it)] { callback(ProposalOutcome::Applied); });
    }
    m_outcomeCallbacks.erase(found);
}

void ReplicaCore::failPendingRequests()
{
    for (auto &it : std::exchange(m_pendingReads, {})) {
        m_readyCallbacks.push_back([callback = std::move(it.callback)] { callback(fail(ErrorCode::NotLeader, "leadership was lost")); });
    }
    for (auto &[index, callbacks] : std::exchange(m_outcomeCallbacks, {})) {
        for (auto &it : callbacks) {
            m_readyCallbacks.push_back([callback = std::move(it)] { callback(ProposalOutcome::LeaderChanged); });
        }
    }
}

} // namespace Toucandeck::internal
