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

/// What the driver of a replica needs. All must outlive it.
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
    using Answered = std::function<void(std::optional<LogIndex>, const CommandAnswer &)>;
    /// Called after each command, whoever proposed it.
    using Applied = std::function<void(LogIndex, const wire::ViewDelta &)>;

    /// Opens the data folder. Errors: those of FileLogStore::open() and Replica::create().
    static Result<std::unique_ptr<ReplicaDriver>> create(const ReplicaDriverParts &parts, const std::string &dataFolder);
    ~ReplicaDriver() override;

    /// Gives the first membership to a replica with an empty log. Errors: Conflict if the log is not empty.
    Result<void> bootstrap(const Membership &membership);

    void setApplied(Applied applied);
    void tick();
    /// @param sender message address of the sending controller.
    void receive(const std::string &sender, const wire::ReplicaMessage &message);
    /// End of an iteration of the event loop.
    void flush();

    Replica &replica();
    const Replica &replica() const;
    const ClusterState &state() const;

    void propose(const wire::Command &command, Done done) override;
    /// As propose(), with the state machine's answer.
    void proposeForAnswer(const wire::Command &command, Answered answered);

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
    Applied m_applied;
    std::map<LogIndex, CommandAnswer> m_answers; ///< Of own proposals that wait for their callback.
    std::map<LogIndex, Answered> m_waiting;
    Membership m_firstMembership;
    /// Senders by replica, for answers to a leader that the own membership does not name yet.
    std::map<ReplicaId, std::string> m_senders;
};

} // namespace Toucandeck
