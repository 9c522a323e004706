#pragma once

#include "consensus/replica.h"
#include "consensus/replica_log.h"

#include <map>
#include <set>
#include <vector>

namespace Toucandeck::internal
{

enum class Role {
    Follower,
    PreCandidate, ///< Requests pre-votes: asks whether a vote would be granted.
    Candidate, ///< Requests votes in a new term.
    Leader,
};

/// Replication state of another member, kept by the leader.
struct Progress
{
    LogIndex matchIndex; ///< Last entry that the member is known to have synced.
    LogIndex nextIndex; ///< First entry to send in the next append message.
    TimePoint lastContact; ///< Time of the last reply; initially the creation time of this object.
    std::uint64_t ackedRound = 0; ///< Latest leadership confirmation round that the member acknowledged.
    TimePoint ackedRoundStart{}; ///< Start of that round by the leader's clock.
    bool isProbing = true; ///< The end of the member's log is unknown; append messages with entries are sent one at a time.
    std::size_t unansweredAppends = 0; ///< Append messages with entries awaiting a reply; reset at each heartbeat.
    std::shared_ptr<const Snapshot> snapshotInTransfer; ///< Snapshot being sent to the member; null if none.
    std::size_t snapshotOffset = 0; ///< Bytes of the snapshot that the member has received.
    bool isChunkUnanswered = false; ///< A chunk awaits its reply. Reset at each heartbeat, so that a lost chunk is resent.
};

/// Implementation of Replica. Split over several files by topic: election, follower, leader, snapshot, proposals.
class ReplicaCore
{
public:
    ReplicaCore(ReplicaOptions options,
                LogStore &store,
                StateMachine &machine,
                ReplicaTransport &transport,
                const Clock &clock,
                RandomSource &random);

    Result<void> load();

    void tick();
    void receive(const wire::ReplicaMessage &message);
    Result<LogIndex> propose(std::string command);
    Result<LogIndex> proposeMembership(const Membership &membership);
    void confirmLeadership(std::function<void(Result<void>)> callback);
    void onOutcome(LogIndex index, std::function<void(ProposalOutcome)> callback);
    void flush();

    bool isLeader() const;
    bool isLeaderReady() const;
    bool isConfirmedLeader() const;
    ReplicaId id() const;
    Term term() const;
    std::optional<ReplicaId> leader() const;
    LogIndex commitIndex() const;
    LogIndex appliedIndex() const;
    LogIndex snapshotIndex() const;
    const ReplicaLog &log() const;
    LogIndex syncedIndexOf(ReplicaId member) const;
    bool isNeededForQuorum(ReplicaId member) const;
    const std::optional<Error> &failure() const;

private:
    struct PendingRead
    {
        std::uint64_t round; ///< Round that a quorum must acknowledge.
        LogIndex minApplied; ///< Entry that must be applied first.
        std::function<void(Result<void>)> callback;
    };

    struct ReceivedSnapshot
    {
        ReplicaId from;
        LogIndex lastIndex;
        Term lastTerm;
        std::string data;
    };

    // Start and end of an iteration.
    Result<void> startLog();
    void flushOnce();
    bool hasUnsentReads() const;
    void sendBeforeSync();
    bool syncStore();
    void afterSync();
    void sendQueued();
    void checkSyncedBeforeSend(const wire::ReplicaMessage &message) const;
    void runCallbacks();

    // Stored state. An error of the store stops the replica.
    bool runOrStop(const std::function<Result<void>()> &block);
    void stop(const Error &error);
    void saveHardState(Term term, ReplicaId votedFor);
    bool appendToLog(LogEntry entry);
    void truncateLog(LogIndex index);

    // Messages.
    wire::ReplicaMessage createMessage(ReplicaId to) const;
    void enqueue(wire::ReplicaMessage message);
    void dispatch(const wire::ReplicaMessage &message);
    bool acceptTerm(const wire::ReplicaMessage &message);
    void rejectStaleTerm(const wire::ReplicaMessage &message);
    void dropMalformed(const wire::ReplicaMessage &message, std::string_view reason);

    // Election.
    bool hasLeaderContact() const;
    bool mustRefuseVotes() const;
    bool isUpToDate(const wire::VoteRequest &request) const;
    void resetElectionTimer();
    void onElectionTimeout();
    bool mayCampaign() const;
    void becomeFollower(Term term, std::optional<ReplicaId> leader);
    void startPreVote();
    void startElection();
    void requestVotes(bool preVote);
    void countVotes();
    void becomeLeader();
    void stepDown(std::string_view reason);
    void onVoteRequest(const wire::ReplicaMessage &message);
    void onPreVoteRequest(const wire::ReplicaMessage &message);
    void onVoteReply(const wire::ReplicaMessage &message);

    // Follower.
    void followLeader(ReplicaId from);
    void onAppendRequest(const wire::ReplicaMessage &message);
    std::optional<LogIndex> conflictHint(const wire::AppendRequest &request) const;
    bool mergeEntries(const wire::AppendRequest &request);
    void replyToAppend(const wire::ReplicaMessage &message, bool accepted, LogIndex index);

    // Leader.
    void tickLeader();
    bool hasContactWithQuorumOf(const Membership &membership, ReplicaId except = {}) const;
    void refreshProgress();
    void sendAppends(ReplicaId to, Progress &progress, bool heartbeat);
    bool sendEntries(ReplicaId to, Progress &progress);
    void sendAppend(ReplicaId to, LogIndex previous, Term previousTerm, std::span<const LogEntry> entries);
    std::vector<LogEntry> nextEntries(LogIndex from) const;
    void onAppendReply(const wire::ReplicaMessage &message);
    void recordAckedRound(Progress &progress, std::uint64_t round);
    void onAppendRejected(Progress &progress, LogIndex hint);
    void advanceLeaderCommit();
    bool isSyncedOnQuorum(LogIndex index) const;

    // Commit and apply.
    void setCommit(LogIndex index);
    void applyCommitted();
    void applyEntry(const LogEntry &entry);
    void onMembershipCommitted();

    // Snapshots.
    void takeSnapshotIfDue();
    void startSnapshotFor(Progress &progress);
    void sendChunk(ReplicaId to, Progress &progress);
    void onSnapshotChunk(const wire::ReplicaMessage &message);
    bool collectChunk(const wire::ReplicaMessage &message);
    void installSnapshot(const wire::SnapshotChunk &chunk);
    void replyToChunk(ReplicaId to, LogIndex lastIndex, bool installed);
    void onSnapshotReply(const wire::ReplicaMessage &message);

    // Proposals and reads.
    LogIndex appendAsLeader(EntryKind kind, std::string data);
    Result<void> checkMembershipProposal(const Membership &membership) const;
    bool canPromote(const Member &member) const;
    void promoteLearners();
    void completeReads();
    void completeProposal(LogIndex applied);
    void failPendingRequests();

    ReplicaOptions m_options;
    LogStore &m_store;
    StateMachine &m_machine;
    ReplicaTransport &m_transport;
    const Clock &m_clock;
    RandomSource &m_random;
    NullLogger m_nullLogger;
    Logger &m_logger;

    ReplicaId m_id;
    HardState m_hardState;
    ReplicaLog m_log;
    std::shared_ptr<const Snapshot> m_snapshot;
    bool m_hasUnsyncedChanges = false; ///< The store must be synced.
    HardState m_syncedHardState;
    LogIndex m_syncedIndex; ///< Last entry synced on this replica.
    std::optional<Error> m_failure;

    Role m_role = Role::Follower;
    std::optional<ReplicaId> m_leader;
    std::optional<ReplicaId> m_termLeader; ///< Leader of the current term; kept when contact with it is lost.
    LogIndex m_commitIndex;
    LogIndex m_appliedIndex;
    std::size_t m_unsnapshottedBytes = 0; ///< Data of the entries applied since the last snapshot.
    LogIndex m_leaderCommit; ///< Follower: last entry known to be committed that matches the leader's log; it may not be synced here yet.
    TimePoint m_lastLeaderContact;
    TimePoint m_electionDeadline;
    std::set<ReplicaId> m_votes;
    std::optional<ReceivedSnapshot> m_receivedSnapshot;

    std::map<ReplicaId, Progress> m_progress; ///< Leader only.
    LogIndex m_termStartIndex; ///< Leader: index of the first entry of its term.
    TimePoint m_nextHeartbeat;
    bool m_heartbeatDue = false;
    std::uint64_t m_lastRound = 0; ///< Number of the latest leadership confirmation round.
    TimePoint m_lastRoundStart; ///< Start of that round.
    std::map<std::uint64_t, TimePoint> m_roundStarts; ///< Starts of the rounds of the last election timeout.
    TimePoint m_loadTime; ///< Time of load(). Votes are refused for the minimum election timeout after it.
    std::vector<PendingRead> m_pendingReads;
    std::map<LogIndex, std::vector<std::function<void(ProposalOutcome)>>> m_outcomeCallbacks;

    std::vector<wire::ReplicaMessage> m_outgoingMessages; ///< Sent after the next sync.
    std::vector<std::function<void()>> m_readyCallbacks; ///< Run at the end of each pass of flush().
};

} // namespace Toucandeck::internal
