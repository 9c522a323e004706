#pragma once

#include "consensus/file_log_store.h"
#include "consensus/replica.h"
#include "fleet/fleet_state.h"
#include "fleet/membership_repair.h"
#include "link/peer_links.h"
#include "log/logger.h"
#include "runtime/event_loop.h"

#include <functional>
#include <optional>

namespace Toucandeck
{

/// Settings by which a controller finds and joins the others.
struct ReplicaGroupOptions
{
    std::string dataFolder;
    std::string failureDomain;
    std::string ip; ///< IP address of this controller, which is also the address of its replica.
    std::string operatorAddress; ///< "IP:PORT" for operators.
    std::vector<std::string> seeds; ///< IP addresses of some controllers.
    bool firstStart = false; ///< True if the whole deployment starts for the first time, with empty disks.
    std::size_t toleratedLosses = 1; ///< Number of controllers that may be lost at the same time.
};

/// Dependencies of a replica group, all of which must outlive it.
struct ReplicaGroupParts
{
    EventLoop &loop;
    PeerLinks &links;
    RandomSource &random;
    Logger &logger;
};

/// One replica of the controllers' log: storage, messages, and forming and repairing the group without an operator.
///
/// At the first start the seed with the lowest address bootstraps the log alone; the others send join requests. A controller that has
/// lost its disk sends join requests with a new replica id, which replaces the former one at its address. A joining replica at another
/// address replaces a silent voter.
class ReplicaGroup : public ReplicaTransport
{
public:
    /// Called with the outcome of a command proposed here, or with nothing if the leadership was lost before it was known.
    using OutcomeCallback = std::function<void(std::optional<CommandOutcome>)>;

    /// Errors: those of FileLogStore::open() and Replica::create().
    static Result<std::unique_ptr<ReplicaGroup>> create(const ReplicaGroupParts &parts, ReplicaGroupOptions options);
    ~ReplicaGroup() override;

    void setSeeds(std::vector<std::string> seeds);

    /// The handler is called after each applied command.
    void setAppliedHandler(std::function<void(LogIndex, const wire::FleetCommand &, CommandOutcome)> applied);
    /// The handler is called once after a storage failure; the process should then exit and be restarted.
    void setFailureHandler(std::function<void(const Error &)> failed);

    void receive(const std::string &peer, const wire::ReplicaMessage &message);
    /// Registers the join request if this controller is the leader, and returns the reply.
    wire::JoinReply receive(const wire::JoinRequest &request);
    void receive(const wire::JoinReply &reply);

    void propose(const wire::FleetCommand &command, OutcomeCallback outcomeCallback);
    void confirmLeadership(std::function<void(bool)> callback);

    const FleetState &state() const;
    bool isLeaderReady() const;
    /// True only while no other replica can be the leader; see Replica::isConfirmedLeader().
    bool isConfirmedLeader() const;
    /// True if each committed entry survives the tolerated losses; see MembershipRepair::isDurable().
    bool isDurable() const;
    /// Number of controllers that count for the quorum.
    std::size_t voterCount() const;
    Term term() const;
    std::string leaderIp() const;
    std::string leaderOperatorAddress() const;
    /// IP addresses of all members.
    std::vector<std::string> controllers() const;

    void send(ReplicaId to, const wire::ReplicaMessage &message) override;

private:
    ReplicaGroup(const ReplicaGroupParts &parts, ReplicaGroupOptions options);
    Result<void> open();
    Result<void> start(Membership first);
    /// True if this controller starts the log of a new deployment.
    bool bootstrapsLog() const;
    void flush();
    void tick();
    void sendJoinRequests();
    void repairMembership();
    const Member *leaderMember() const;
    void updateLeadership();

    ReplicaGroupParts m_parts;
    ReplicaGroupOptions m_options;
    FleetState m_state;
    std::unique_ptr<FileLogStore> m_store;
    std::unique_ptr<Replica> m_replica;
    std::unique_ptr<MembershipRepair> m_repair;
    std::function<void(LogIndex, const wire::FleetCommand &, CommandOutcome)> m_appliedHandler;
    std::function<void(const Error &)> m_failureHandler;
    std::map<LogIndex, OutcomeCallback> m_pendingProposals;
    std::map<LogIndex, CommandOutcome> m_outcomes;
    std::map<ReplicaId, std::string> m_senderIps; ///< For answers to a leader that is not in the local membership yet.
    bool m_isLeader = false;
    TimePoint m_lastLeaderTime; ///< Last time at which a leader was known.
    TimePoint m_nextJoin;
    TimePoint m_nextRepair;
    EventLoop::Watch m_tickTimer;
    EventLoop::Watch m_flushHook;
};

} // namespace Toucandeck
