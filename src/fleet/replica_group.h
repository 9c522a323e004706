#pragma once

#include "consensus/file_log_store.h"
#include "consensus/replica.h"
#include "fleet/fleet_state.h"
#include "link/peer_links.h"
#include "log/logger.h"
#include "runtime/event_loop.h"

#include <functional>
#include <optional>

namespace Toucandeck
{

/// How a controller finds and joins the others.
struct ReplicaGroupOptions
{
    std::string dataFolder;
    std::string failureDomain;
    std::string ip; ///< Of this controller; replicas are addressed by IP.
    std::string operatorAddress; ///< "IP:PORT" for operators.
    std::vector<std::string> seeds; ///< IP addresses of some controllers.
    bool firstStart = false; ///< The whole deployment starts for the first time, with empty disks.
    std::size_t toleratedLosses = 1; ///< Controllers that may be lost at once.
};

/// What a replica group needs. All must outlive it.
struct ReplicaGroupParts
{
    EventLoop &loop;
    PeerLinks &links;
    RandomSource &random;
    Logger &logger;
};

/// One replica of the controllers' log: storage, messages, and the forming and mending of the group without an operator.
///
/// At the first start the seed with the lowest address starts the log alone; the others ask to be taken in. A controller whose disk
/// was lost asks under a new identity, which replaces the one that had its address. A newcomer at another address replaces a voter
/// that is not heard from.
class ReplicaGroup : public ReplicaTransport
{
public:
    /// Receives the outcome of an own command, or nothing if the leadership ended first.
    using Decided = std::function<void(std::optional<CommandOutcome>)>;

    /// Errors: those of FileLogStore::open() and Replica::create().
    static Result<std::unique_ptr<ReplicaGroup>> create(const ReplicaGroupParts &parts, ReplicaGroupOptions options);
    ~ReplicaGroup() override;

    void setSeeds(std::vector<std::string> seeds);

    /// Called after each applied command.
    void setApplied(std::function<void(LogIndex, const wire::FleetCommand &, CommandOutcome)> applied);
    /// Called when the storage has failed; the process should end and start again.
    void setFailed(std::function<void(const Error &)> failed);

    void receive(const std::string &peer, const wire::ReplicaMessage &message);
    /// The answer for a controller that asks to be taken in.
    wire::JoinReply receive(const wire::JoinRequest &request);
    void receive(const wire::JoinReply &reply);

    void propose(const wire::FleetCommand &command, Decided decided);
    void confirmLeadership(std::function<void(bool)> callback);

    const FleetState &state() const;
    bool isLeaderReady() const;
    /// No other replica can lead now; see Replica::isConfirmedLeader().
    bool isConfirmedLeader() const;
    /// Enough voters hold each committed entry that it survives the tolerated losses.
    bool isDurable() const;
    /// Controllers that count for the quorum.
    std::size_t voters() const;
    Term term() const;
    std::string leaderIp() const;
    std::string leaderOperatorAddress() const;
    /// IP addresses of all members.
    std::vector<std::string> controllers() const;

    void send(ReplicaId to, const wire::ReplicaMessage &message) override;

private:
    struct Newcomer
    {
        Member member;
        TimePoint lastAsked;
    };

    ReplicaGroup(const ReplicaGroupParts &parts, ReplicaGroupOptions options);
    Result<void> open();
    Result<void> start(Membership first);
    bool startsTheLog() const;
    void flush();
    void tick();
    void askToJoin();
    void mendMembership();
    std::optional<Membership> nextMembership() const;
    const Newcomer *firstNewcomer() const;
    const Member *silentVoter(Duration silence) const;
    std::size_t targetVoters() const;
    const Member *leaderMember() const;
    void noteLeadership();

    ReplicaGroupParts m_parts;
    ReplicaGroupOptions m_options;
    FleetState m_state;
    std::unique_ptr<FileLogStore> m_store;
    std::unique_ptr<Replica> m_replica;
    std::function<void(LogIndex, const wire::FleetCommand &, CommandOutcome)> m_applied;
    std::function<void(const Error &)> m_failed;
    std::map<LogIndex, Decided> m_waiting;
    std::map<LogIndex, CommandOutcome> m_outcomes;
    std::map<ReplicaId, std::string> m_senders; ///< For answers to a leader that the own membership does not name yet.
    std::map<ReplicaId, TimePoint> m_heard;
    std::map<ReplicaId, Newcomer> m_newcomers;
    bool m_leads = false;
    TimePoint m_leadsSince;
    TimePoint m_leaderSeen; ///< When a leader was last known.
    TimePoint m_nextJoin;
    TimePoint m_nextMend;
    EventLoop::Watch m_tick;
    EventLoop::Watch m_flush;
};

} // namespace Toucandeck
