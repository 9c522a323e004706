#pragma once

#include "fleet/key_coordinator.h"
#include "fleet/manifest_history.h"
#include "fleet/replica_group.h"
#include "manifest/manifest_codec.h"

#include <map>
#include <memory>

namespace Toucandeck
{

/// The leading controller's side of the conversation with the routers: takes their announcements, keeps the list of routers and
/// backend servers, grants leases on keys, and sends each router what has changed since its last message.
class FleetController
{
public:
    FleetController(EventLoop &loop, ReplicaGroup &group, const ManifestCodec &codec, Logger &logger, KeyLeaseOptions leases);

    void receive(const std::shared_ptr<MessageChannel> &channel, const wire::Announce &announce);
    void closed(const std::shared_ptr<MessageChannel> &channel);

    /// Routers that report.
    std::size_t routers() const;

private:
    struct RouterEntry
    {
        wire::RouterRecord record;
        wire::KeyDemand demand;
        std::uint64_t revision = 0; ///< Of this list, when the record last changed.
        TimePoint lastAnnounce;
        bool silent = false;
    };

    /// What one router has been sent on its present connection.
    struct Session
    {
        std::shared_ptr<MessageChannel> channel;
        std::string router;
        std::uint64_t lastAnnounce = 0; ///< Sequence number.
        std::uint64_t manifestVersion = 0;
        std::uint64_t evacuationRevision = 0;
        bool evacuationsSent = false;
        std::vector<std::string> controllers;
        std::map<std::string, std::uint64_t> tableRevisions;
        std::uint64_t listRevision = 0;
        bool listComplete = false;
    };

    void refuse(const std::shared_ptr<MessageChannel> &channel);
    void noteRouter(const wire::Announce &announce);
    void onApplied(const wire::FleetCommand &command, CommandOutcome outcome);
    void tick();
    void noteLeadership();
    void dropSilent();
    void pushChanges();
    void fillLease(const Session &session, const wire::InstanceReport &instance, wire::FleetUpdate &update);
    bool fillChangedLease(const Session &session, const std::set<std::string> &changed, wire::FleetUpdate &update);
    bool fillChanges(Session &session, wire::FleetUpdate &update) const;
    bool fillRouters(Session &session, wire::FleetUpdate &update) const;
    bool listIsComplete() const;
    void readManifest();
    bool fillManifest(Session &session, wire::FleetUpdate &update) const;
    bool fillTables(Session &session, wire::FleetUpdate &update) const;
    std::vector<KeyHolder> keyHolders() const;

    EventLoop &m_loop;
    ReplicaGroup &m_group;
    const ManifestCodec &m_codec;
    Logger &m_logger;
    SlicePlanner m_planner;
    KeyCoordinator m_keys;
    std::map<std::string, RouterEntry> m_routers; ///< By IP address.
    std::map<std::string, std::uint64_t> m_removed; ///< Revision at which a router left the list.
    std::uint64_t m_listRevision = 1;
    std::map<MessageChannel *, Session> m_sessions;
    ManifestHistory m_history;
    std::vector<std::string> m_keyedServices;
    std::uint64_t m_readVersion = 0; ///< Version that m_keyedServices come from.
    bool m_leads = false;
    TimePoint m_leadsSince;
    EventLoop::Watch m_timer;
};

} // namespace Toucandeck
