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
    PreCandidate, ///< Asks whether a vote would be granted.
    Candidate, ///< Asks for votes in a new term.
    Leader,
};

/// What a leader knows about another member.
struct Progress
{
    LogIndex match; ///< Synced there as far as known.
    LogIndex next; ///< First entry of the next append message.
    TimePoint lastHeard;
    std::uint64_t ackedRound = 0; ///< Latest round of leadership confirmation that it answered.
    TimePoint ackedRoundStart{}; ///< When that round was started here.
    bool probing = true; ///< The end of its log is unknown; one append message at a time.
    std::size_t inFlight = 0; ///< Append messages with entries that it has not answered; reset at each heartbeat.
    std::shared_ptr<const Snapshot> sending; ///< Set while it receives a snapshot.
    std::size_t offset = 0; ///< Bytes of the snapshot that it has.
    bool chunkInFlight = false; ///< Reset at each heartbeat, so that a lost chunk is sent again.
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
        std::uint64_t round; ///< Round that a quorum must answer.
        LogIndex minApplied;
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
    void checkPromise(const wire::ReplicaMessage &message) const;
    void runCallbacks();

    // Stored state. On failure the replica stops.
    bool attempt(const std::function<Result<void>()> &block);
    void stop(const Error &error);
    void saveHardState(Term term, ReplicaId votedFor);
    bool appendToLog(LogEntry entry);
    void truncateLog(LogIndex index);

    // Messages.
    wire::ReplicaMessage message(ReplicaId to) const;
    void queue(wire::ReplicaMessage message);
    void dispatch(const wire::ReplicaMessage &message);
    bool acceptTerm(const wire::ReplicaMessage &message);
    void refuseOldTerm(const wire::ReplicaMessage &message);
    void dropMalformed(const wire::ReplicaMessage &message, std::string_view reason);

    // Election.
    bool hearsLeader() const;
    bool refusesVotes() const;
    bool isUpToDate(const wire::VoteRequest &request) const;
    void resetElectionTimer();
    void electionTimeout();
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
    void leaderTick();
    bool hearsQuorumOf(const Membership &membership, ReplicaId except = {}) const;
    void refreshProgress();
    void sendAppends(ReplicaId to, Progress &progress, bool heartbeat);
    bool sendEntries(ReplicaId to, Progress &progress);
    void sendAppend(ReplicaId to, LogIndex previous, Term previousTerm, std::span<const LogEntry> entries);
    std::vector<LogEntry> nextEntries(LogIndex from) const;
    void onAppendReply(const wire::ReplicaMessage &message);
    void confirmRound(Progress &progress, std::uint64_t round);
    void onRejected(Progress &progress, LogIndex hint);
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
    void answerReads();
    void answerOutcomes(LogIndex applied);
    void failWaiters();

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
    bool m_dirty = false; ///< The store has changes that are not synced.
    HardState m_syncedHardState;
    LogIndex m_syncedIndex; ///< Last entry of the log that is synced here.
    std::optional<Error> m_failure;

    Role m_role = Role::Follower;
    std::optional<ReplicaId> m_leader;
    std::optional<ReplicaId> m_termLeader; ///< First leader seen in the term; kept when contact with it ends.
    LogIndex m_commitIndex;
    LogIndex m_appliedIndex;
    LogIndex m_leaderCommit; ///< Follower: committed at the leader and matched here, perhaps not synced here.
    TimePoint m_lastLeaderContact;
    TimePoint m_electionDeadline;
    std::set<ReplicaId> m_votes;
    std::optional<ReceivedSnapshot> m_receivedSnapshot;

    std::map<ReplicaId, Progress> m_progress; ///< Leader only.
    LogIndex m_termStart; ///< Leader: index of the first entry of its term.
    TimePoint m_nextHeartbeat;
    bool m_heartbeatDue = false;
    std::uint64_t m_round = 0; ///< Latest round of leadership confirmation that was sent.
    TimePoint m_roundStart; ///< Start of that round.
    std::map<std::uint64_t, TimePoint> m_roundStarts; ///< Starts of the rounds within the last election timeout.
    TimePoint m_loadedAt; ///< Votes are refused for an election timeout after it.
    std::vector<PendingRead> m_reads;
    std::map<LogIndex, std::vector<std::function<void(ProposalOutcome)>>> m_outcomes;

    std::vector<wire::ReplicaMessage> m_queue; ///< Sent after the next sync.
    std::vector<std::function<void()>> m_callbacks;
};

} // namespace Toucandeck::internal
