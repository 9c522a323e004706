#include "consensus/events.h"
#include "consensus/quorum.h"
#include "consensus/replica_core.h"

#include "common/assert.h"

namespace Toucandeck::internal
{

void ReplicaCore::tick()
{
    if (m_failure) {
        return;
    }
    if (m_role == Role::Leader) {
        tickLeader();
    } else if (m_clock.now() >= m_electionDeadline) {
        onElectionTimeout();
    }
}

void ReplicaCore::onElectionTimeout()
{
    m_leader.reset();
    if (mayCampaign()) {
        startPreVote();
    } else {
        resetElectionTimer();
    }
}

bool ReplicaCore::mayCampaign() const
{
    if (m_log.membership().isVoter(m_id)) {
        return true;
    }
    // A leader that removes itself may be the only replica with that log entry. If it then loses contact, the others may need its
    // vote, which it must refuse because their logs are shorter. It must therefore campaign until the change is committed.
    const auto changed = m_log.membershipIndex();
    return changed > m_commitIndex && m_log.membershipAt(LogIndex{ changed.value - 1 }).isVoter(m_id);
}

void ReplicaCore::resetElectionTimer()
{
    const auto spread = static_cast<std::uint64_t>((m_options.electionTimeoutMax - m_options.electionTimeoutMin).count());
    m_electionDeadline = m_clock.now() + m_options.electionTimeoutMin + Duration(m_random.below(spread));
}

bool ReplicaCore::hasLeaderContact() const
{
    if (m_role == Role::Leader) {
        return true;
    }
    return m_leader && m_clock.now() - m_lastLeaderContact < m_options.electionTimeoutMin;
}

bool ReplicaCore::mustRefuseVotes() const
{
    // isConfirmedLeader() on the leader relies on this. After a start the time of the last message from the leader is unknown.
    return hasLeaderContact() || m_clock.now() - m_loadTime < m_options.electionTimeoutMin;
}

bool ReplicaCore::isUpToDate(const wire::VoteRequest &request) const
{
    if (request.last_term() != m_log.lastTerm().value) {
        return request.last_term() > m_log.lastTerm().value;
    }
    return request.last_index() >= m_log.lastIndex().value;
}

void ReplicaCore::becomeFollower(Term term, std::optional<ReplicaId> leader)
{
    if (m_role == Role::Leader) {
        stepDown("a higher term exists");
    }
    m_role = Role::Follower;
    m_votes.clear();
    m_leader = leader;
    if (term > m_hardState.term) {
        m_receivedSnapshot.reset();
        saveHardState(term, ReplicaId{});
    }
}

void ReplicaCore::startPreVote()
{
    m_role = Role::PreCandidate;
    m_votes = { m_id };
    resetElectionTimer();
    requestVotes(true);
    countVotes();
}

void ReplicaCore::startElection()
{
    m_role = Role::Candidate;
    m_votes.clear(); // The replica's own vote counts once it is synced; see afterSync().
    saveHardState(Term{ m_hardState.term.value + 1 }, m_id);
    m_logger.write(ConsensusEvents::kElectionStarted, { field("term", m_hardState.term.value) });
    resetElectionTimer();
    requestVotes(false);
}

void ReplicaCore::requestVotes(bool preVote)
{
    for (const auto &it : m_log.membership().members) {
        if (it.role != ReplicaRole::Voter || it.replica == m_id) {
            continue;
        }
        auto message = createMessage(it.replica);
        message.set_term(m_hardState.term.value + (preVote ? 1 : 0));
        auto *request = message.mutable_vote_request();
        request->set_last_index(m_log.lastIndex().value);
        request->set_last_term(m_log.lastTerm().value);
        request->set_pre_vote(preVote);
        enqueue(std::move(message));
    }
}

void ReplicaCore::countVotes()
{
    if (!isQuorum(m_log.membership(), [this](ReplicaId replica) { return m_votes.contains(replica); })) {
        return;
    }
    if (m_role == Role::PreCandidate) {
        startElection();
    } else if (m_role == Role::Candidate) {
        becomeLeader();
    }
}

void ReplicaCore::becomeLeader()
{
    TOUCANDECK_ASSERT(!m_termLeader, "a term has at most one leader");
    TOUCANDECK_ASSERT((m_syncedHardState == HardState{ m_hardState.term, m_id }), "a leader's own vote is synced");
    m_role = Role::Leader;
    m_leader = m_termLeader = m_id;
    m_votes.clear();
    m_progress.clear();
    refreshProgress();
    m_heartbeatDue = true;
    m_nextHeartbeat = m_clock.now() + m_options.heartbeat;
    m_logger.write(ConsensusEvents::kLeaderElected, { field("term", m_hardState.term.value), field("last", m_log.lastIndex().value) });
    m_termStartIndex = appendAsLeader(EntryKind::Noop, {});
}

void ReplicaCore::stepDown(std::string_view reason)
{
    if (m_role == Role::Leader) {
        m_logger.write(ConsensusEvents::kLeaderSteppedDown, { field("term", m_hardState.term.value), field("reason", reason) });
        m_leader.reset();
    }
    m_role = Role::Follower;
    m_leaderCommit = m_commitIndex;
    m_progress.clear();
    failPendingRequests();
    resetElectionTimer();
}

void ReplicaCore::onPreVoteRequest(const wire::ReplicaMessage &message)
{
    // Pre-votes are refused while the leader is in contact, so that a replica that rejoins after a partition cannot depose it.
    const bool granted
        = message.term() > m_hardState.term.value && !m_log.isEmpty() && !mustRefuseVotes() && isUpToDate(message.vote_request());
    auto reply = createMessage(ReplicaId{ message.from() });
    if (granted) {
        reply.set_term(message.term());
    }
    reply.mutable_vote_reply()->set_granted(granted);
    reply.mutable_vote_reply()->set_pre_vote(true);
    enqueue(std::move(reply));
}

void ReplicaCore::onVoteRequest(const wire::ReplicaMessage &message)
{
    const ReplicaId from{ message.from() };
    const bool canVoteFor = !m_hardState.votedFor || m_hardState.votedFor == from;
    // A replica with an empty log cannot compare logs. It may have lost its disk, so it must not vote.
    const bool granted = canVoteFor && !m_log.isEmpty() && isUpToDate(message.vote_request());
    if (granted) {
        m_role = Role::Follower;
        saveHardState(m_hardState.term, from);
        resetElectionTimer();
    }
    auto reply = createMessage(from);
    reply.mutable_vote_reply()->set_granted(granted);
    enqueue(std::move(reply));
}

void ReplicaCore::onVoteReply(const wire::ReplicaMessage &message)
{
    const auto &reply = message.vote_reply();
    const auto expected = reply.pre_vote() ? Role::PreCandidate : Role::Candidate;
    const auto expectedTerm = m_hardState.term.value + (reply.pre_vote() ? 1 : 0);
    if (!reply.granted() || m_role != expected || message.term() != expectedTerm) {
        return;
    }
    m_votes.insert(ReplicaId{ message.from() });
    countVotes();
}

} // namespace Toucandeck::internal
