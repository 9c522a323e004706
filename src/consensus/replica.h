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

/// Outcome of a proposed entry.
enum class ProposalOutcome {
    Applied, ///< Committed and applied to the state machine of this replica.
    LeaderChanged, ///< This replica lost leadership; whether the entry will be committed is unknown.
};

/// One replica of the replicated log (section 3.2 of the design). Has no thread and does no network I/O: the caller's event loop
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

    /// Handles timeouts that have expired: heartbeats, elections and the loss of the quorum.
    void tick();

    /// Handles a message from another replica. Drops malformed messages and those addressed to another id.
    void receive(const wire::ReplicaMessage &message);

    /// Appends a command to the log. It is not yet committed on return and may never be; see onOutcome(). Errors: NotLeader, and
    /// those of the store.
    Result<LogIndex> propose(std::string command);

    /// Changes the membership by one replica. A learner is promoted automatically once it has synced all committed entries.
    /// Errors: NotLeader; Unavailable (the leader has committed nothing in its term yet); Conflict (the previous change is
    /// not committed yet); InvalidArgument and Refused as checkMembershipChange().
    Result<LogIndex> proposeMembership(const Membership &membership);

    /// Confirms leadership for a linearizable read. The callback is called once: with success after a quorum has acknowledged
    /// messages sent after this call and all entries committed before this call are applied here, so that the state machine may
    /// be read; with a failure if this replica is not or no longer the leader. The Error of the failure is not available to the
    /// callback.
    void confirmLeadership(std::function<void(Result<void>)> callback);

    /// Calls the callback once: when the entry that this leader proposed at the index is applied, or when leadership is lost.
    void onOutcome(LogIndex index, std::function<void(ProposalOutcome)> callback);

    /// Ends an iteration of the event loop: syncs the store once for all changes of the iteration, commits and applies entries, sends the
    /// messages that depend on the sync, and runs callbacks. If the store fails, the replica stops; see failure().
    void flush();

    /// True if this replica was elected in term() and has not stepped down.
    bool isLeader() const;

    /// True if this replica is the leader and has applied the first entry of its term, and so all entries committed in earlier terms.
    bool isLeaderReady() const;

    /// True only while no other replica can have been elected: this replica is the leader, and a quorum has acknowledged messages that
    /// it sent within the last minimum election timeout. Voters refuse votes for that time after each message from the leader and after
    /// their start.
    bool isConfirmedLeader() const;

    ReplicaId id() const;
    Term term() const;

    /// Leader of term(); nothing if unknown.
    std::optional<ReplicaId> leader() const;

    LogIndex commitIndex() const;
    LogIndex appliedIndex() const;
    LogIndex lastIndex() const;

    /// Index of the last snapshot; zero if there is none.
    LogIndex snapshotIndex() const;

    /// Latest membership in the log, committed or not. Empty in a new replica that no leader has added yet.
    const Membership &membership() const;

    /// True if the latest membership is committed.
    bool isMembershipCommitted() const;

    /// Last index that the member is known to have synced. Zero if this replica is not the leader or the member is unknown.
    LogIndex syncedIndexOf(ReplicaId member) const;

    /// True if the other voters that responded within the last election timeout are no quorum without this member. Always false if
    /// this replica is not the leader.
    bool isNeededForQuorum(ReplicaId member) const;

    /// Error that stopped the replica, if it has stopped. A stopped replica ignores messages and timers and rejects proposals; create
    /// a new one on a reopened store.
    const std::optional<Error> &failure() const;

private:
    explicit Replica(std::unique_ptr<internal::ReplicaCore> core);
    std::unique_ptr<internal::ReplicaCore> m_core;
};

} // namespace Toucandeck
