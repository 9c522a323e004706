#pragma once

#include "consensus/file_log_store.h"
#include "consensus/replica.h"
#include "ownership/leadership_check.h"
#include "ownership/proposer.h"
#include "runtime/event_loop.h"
#include "runtime/message_socket.h"
#include "state/cluster_state.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Toucandeck
{

/// Dependencies of ReplicaDriver. All must outlive it.
struct ReplicaDriverParts
{
    EventLoop &loop;
    MessageSocket &messages;
    RandomSource &random;
    Logger &logger;
};

/// Connects one replica of the log to its data folder, the message socket and the event loop.
class ReplicaDriver : public ReplicaTransport, public Proposer, public LeadershipCheck
{
public:
    /// Called with the answer of the state machine after a command was applied here, or with nothing if the leadership ended first.
    using AnswerCallback = std::function<void(std::optional<LogIndex>, const CommandAnswer &)>;
    /// Called after each applied command, whoever proposed it.
    using AppliedCallback = std::function<void(LogIndex, const wire::ViewDelta &)>;

    /// Opens the data folder. Errors: those of FileLogStore::open() and Replica::create().
    static Result<std::unique_ptr<ReplicaDriver>> create(const ReplicaDriverParts &parts, const std::string &dataFolder);
    ~ReplicaDriver() override;

    /// Sets the initial membership of a replica that has none. Errors: Conflict if it has a membership, InvalidArgument if the new one
    /// is invalid or lacks this replica, Io, and those of create().
    Result<void> bootstrap(const Membership &membership);

    void setAppliedCallback(AppliedCallback onApplied);
    void tick();
    /// @param sender message address of the sending controller.
    void receive(const std::string &sender, const wire::ReplicaMessage &message);
    /// Call at the end of each iteration of the event loop; see Replica::flush().
    void flush();

    Replica &replica();
    const Replica &replica() const;
    const ClusterState &state() const;

    void propose(const wire::Command &command, Done done) override;
    /// Like propose(), but also passes the log index to the callback.
    void proposeForAnswer(const wire::Command &command, AnswerCallback onAnswer);

    bool isConfirmedLeader() const override;
    std::string leaderAddress() const override;
    /// HTTP address of the leader; empty if unknown.
    std::string leaderHttpAddress() const;

    void send(ReplicaId to, const wire::ReplicaMessage &message) override;

private:
    explicit ReplicaDriver(const ReplicaDriverParts &parts, std::string dataFolder);
    Result<void> open();
    Result<Membership> readFirstMembership() const;
    const Member *leaderMember() const;

    ReplicaDriverParts m_parts;
    std::string m_dataFolder;
    ClusterState m_state;
    std::unique_ptr<FileLogStore> m_store;
    std::unique_ptr<Replica> m_replica;
    AppliedCallback m_onApplied;
    std::map<LogIndex, CommandAnswer> m_pendingAnswers; ///< Answers to own proposals whose callback is pending.
    std::map<LogIndex, AnswerCallback> m_pendingCallbacks;
    Membership m_firstMembership;
    /// Message addresses of senders by replica, to answer a leader that the own membership does not contain yet.
    std::map<ReplicaId, std::string> m_senderAddresses;
};

} // namespace Toucandeck
