#pragma once

#include "consensus/log_store.h"
#include "consensus/replica_options.h"
#include "consensus/replica_transport.h"
#include "consensus/state_machine.h"

#include "common/clock.h"
#include "common/random_source.h"

#include <functional>
#include <memory>
#include <optional>

namespace Toucandeck
{

namespace internal
{
class ReplicaCore;
}

/// What became of a proposed entry.
enum class ProposalOutcome {
    Applied, ///< Committed and applied to the state machine of this replica.
    LeaderChanged, ///< This replica no longer leads; the entry may still be committed or not.
};

/// One member of the replicated log (section 3.2 of the design). Pure logic on the thread of the caller: an event loop
/// calls receive() for each message, tick() at least every 10 ms, and flush() at the end of each iteration.
/// Callbacks run inside tick(), receive() or flush() and may call any function of the replica except these three.
class Replica
{
public:
    /// Loads the store and restores the state machine. The references must outlive the replica.
    /// Errors: those of the store and of StateMachine::restore(); InvalidArgument for malformed options.
    static Result<std::unique_ptr<Replica>> create(ReplicaOptions options,
                                                   LogStore &store,
                                                   StateMachine &machine,
                                                   ReplicaTransport &transport,
                                                   const Clock &clock,
                                                   RandomSource &random);
    ~Replica();

    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    /// Runs the timers.
    void tick();

    /// Takes a message of another replica. Malformed ones and those for another id are dropped.
    void receive(const wire::ReplicaMessage &message);

    /// Appends a command to the log; it commits later or never. Errors: NotLeader.
    Result<LogIndex> propose(std::string command);

    /// Changes the membership by one replica. A learner is promoted automatically once it has synced everything committed.
    /// Errors: NotLeader; Unavailable (the leader has committed nothing in its term yet); Conflict (the previous change is
    /// not committed yet); InvalidArgument and Refused as checkMembershipChange().
    Result<LogIndex> proposeMembership(const Membership &membership);

    /// Calls back once with success after a quorum has confirmed the leadership in answer to messages sent after this call,
    /// and after everything committed before this call is applied here; the state machine may then be read. A failure always
    /// means that this replica does not lead (any more); its Error is not kept.
    void confirmLeadership(std::function<void(Result<void>)> callback);

    /// Calls back once, when the entry that this leader proposed at the index has been applied or its leadership has ended.
    void onOutcome(LogIndex index, std::function<void(ProposalOutcome)> callback);

    /// Ends an iteration of the event loop: syncs the store once if it was changed, then sends what depends on it, commits
    /// and applies. If the store fails, the replica stops and failure() tells why.
    void flush();

    /// True if this replica was elected in term() and has not stepped down.
    bool isLeader() const;

    /// True if this replica leads and has applied an entry of its own term, and with it everything committed earlier.
    bool isLeaderReady() const;

    /// True only while no other replica can have been elected: this replica leads, and a quorum has answered messages that it sent
    /// within the last minimum election timeout, counted from their sending. Voters refuse votes for that time after each message of
    /// the leader and after their start.
    bool isConfirmedLeader() const;

    ReplicaId id() const;
    Term term() const;

    /// Leader of term(), as far as known.
    std::optional<ReplicaId> leader() const;

    LogIndex commitIndex() const;
    LogIndex appliedIndex() const;
    LogIndex lastIndex() const;

    /// Index of the last snapshot; zero if there is none.
    LogIndex snapshotIndex() const;

    /// Latest membership in the log, committed or not. Empty in a new replica that no leader has added yet.
    const Membership &membership() const;

    /// True if the latest membership is committed.
    bool membershipCommitted() const;

    /// For the leader: last index that the member is known to have synced; zero otherwise.
    LogIndex syncedIndexOf(ReplicaId member) const;

    /// True if without this member the remaining voters that are heard from would not be a quorum. Leader only.
    bool isNeededForQuorum(ReplicaId member) const;

    /// Why the replica has stopped, if it has. A stopped replica ignores all calls; create a new one on a newly opened store.
    const std::optional<Error> &failure() const;

private:
    explicit Replica(std::unique_ptr<internal::ReplicaCore> core);
    std::unique_ptr<internal::ReplicaCore> m_core;
};

} // namespace Toucandeck
