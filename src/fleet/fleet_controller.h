#pragma once

#include "fleet/key_coordinator.h"
#include "fleet/manifest_barrier.h"
#include "fleet/manifest_services.h"
#include "fleet/manifest_updates.h"
#include "fleet/replica_group.h"

#include <map>
#include <memory>
#include <set>

namespace Toucandeck
{

/// Leader side of the protocol between controllers and routers: receives announcements, maintains the list of routers and backend
/// servers, grants leases on keys, and sends each router the changes since the last update it was sent.
class FleetController
{
public:
    /// @param barrier must outlive this object.
    FleetController(
        EventLoop &loop, ReplicaGroup &group, const ManifestCodec &codec, Logger &logger, KeyLeaseOptions leases, ManifestBarrier &barrier);

    void receive(const std::shared_ptr<MessageChannel> &channel, const wire::Announce &announce);
    void onClosed(const std::shared_ptr<MessageChannel> &channel);

    /// Number of routers in the list, including silent ones that were not removed yet.
    std::size_t routerCount() const;

private:
    struct RouterEntry
    {
        wire::RouterRecord record;
        wire::KeyDemand demand;
        std::uint64_t revision = 0; ///< List revision of the last change of the record.
        TimePoint lastAnnounce;
        bool isSilent = false;
        std::set<std::string> proposedLeaving; ///< Leaving incarnations in commands that were proposed and have not ended.
    };

    /// State that one router was sent on its current connection.
    struct Session
    {
        std::shared_ptr<MessageChannel> channel;
        std::string router;
        std::uint64_t lastAnnounce = 0; ///< Sequence number of the last announcement.
        std::uint64_t manifestVersion = 0;
        std::uint64_t appliedVersion = 0; ///< Manifest version that the router reported last.
        bool acceptsCompressed = false;
        std::uint64_t evacuationRevision = 0;
        bool areEvacuationsSent = false;
        std::vector<std::string> controllers;
        std::map<std::string, std::uint64_t> tableRevisions;
        std::uint64_t listRevision = 0;
        bool isListSent = false;
        bool areDeparturesSent = false;
        std::vector<std::string> departures;
    };

    void refuse(const std::shared_ptr<MessageChannel> &channel);
    void recordRouter(const wire::Announce &announce);
    /// Records which processes beside the router have terminated, according to its announcement.
    void recordTermination(const wire::Announce &announce);
    /// Has the leaving backend server of the router recorded by all controllers.
    void proposeLeaving(const std::string &router, RouterEntry &entry);
    void onApplied(const wire::FleetCommand &command, CommandOutcome outcome);
    void tick();
    void updateLeadership();
    void removeSilentRouters();
    void pushChanges();
    void fillLease(const Session &session, const wire::InstanceReport &instance, wire::FleetUpdate &update);
    bool fillChangedLease(const Session &session, const std::set<std::string> &changed, wire::FleetUpdate &update);
    bool fillChanges(Session &session, wire::FleetUpdate &update);
    bool fillRouters(Session &session, wire::FleetUpdate &update) const;
    bool isListComplete() const;
    void readManifest();
    /// True if all routers in contact have reported this manifest version or a later one.
    bool isManifestApplied(std::uint64_t version) const;
    bool fillManifest(Session &session, wire::FleetUpdate &update);
    /// Adds which processes beside the router are recorded to leave, if that has changed.
    bool fillDepartures(Session &session, wire::FleetUpdate &update) const;
    bool fillTables(Session &session, wire::FleetUpdate &update) const;
    std::vector<KeyHolder> keyHolders() const;

    EventLoop &m_loop;
    ReplicaGroup &m_group;
    Logger &m_logger;
    SlicePlanner m_planner;
    KeyCoordinator m_coordinator;
    std::map<std::string, RouterEntry> m_routers; ///< By IP address.
    std::map<std::string, std::uint64_t> m_removedRouters; ///< List revision of the removal, by IP address.
    std::uint64_t m_listRevision = 1;
    std::map<MessageChannel *, Session> m_sessions;
    ManifestUpdates m_manifestUpdates;
    ManifestBarrier &m_barrier;
    ManifestServices m_services;
    std::uint64_t m_readVersion = 0; ///< Manifest version of m_manifestUpdates and m_services.
    bool m_isLeader = false;
    TimePoint m_leaderSince;
    EventLoop::Watch m_timer;
};

} // namespace Toucandeck
