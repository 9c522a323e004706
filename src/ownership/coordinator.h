#pragma once

#include "common/clock.h"
#include "common/ids.h"
#include "log/logger.h"
#include "ownership/leadership_check.h"
#include "ownership/placement.h"
#include "ownership/proposer.h"
#include "ownership/router_link.h"
#include "ownership/wire_namespace.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

class ClusterState;

namespace internal
{
class CoordinatorCore;
}

/// Status of one session as known to the leader.
struct SessionStatus
{
    SessionId session;
    std::string service;
    std::string failureDomain;
    std::string instance;
    /// Time of the last renewal received by this leader; empty before the first one.
    std::optional<TimePoint> lastRenewal;
    /// End of the lease on the leader's clock.
    TimePoint leaseEnd;
    /// Version that the router had applied when it sent the last renewal.
    LogIndex version;
    std::uint32_t inFlight = 0;
    std::uint32_t loadPermille = 0;
    bool backendReady = false;
    bool cold = false;
};

/// Dependencies of Coordinator. All must outlive it.
struct CoordinatorParts
{
    const ClusterState &state;
    const Clock &clock;
    Proposer &proposer;
    RouterLink &routers;
    const LeadershipCheck &leadership;
    const Placement &placement;
    Logger &logger;
};

/// Leader side of ownership: extends leases, proposes grants and moves, acts on leave times and publishes deltas. Every controller
/// has one; only that of the leader makes decisions. Lease ends are kept in memory only; state that must survive a change of leader
/// goes through the replicated log.
class Coordinator
{
public:
    explicit Coordinator(const CoordinatorParts &parts);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// Call once the replica leads and has applied an entry of its own term. Every session counts as renewed at this time.
    void onLeadershipGained();
    /// Discards the state of this leadership.
    void onLeadershipLost();

    /// Handles a message from the router at @p sender: Register, Renew, Release, CloseRequest or FetchView. Other bodies are ignored.
    void receive(const std::string &sender, const wire::Envelope &envelope);

    /// Call at every controller, leader or not, right after the state has applied a command. At the leader the times of these calls
    /// are the commit times from which the age of a view is computed.
    void onCommandApplied(LogIndex index, const wire::ViewDelta &delta);

    /// Call every 10 ms.
    void tick();

    /// Sessions of the replicated state with their status; empty when this controller does not lead.
    std::vector<SessionStatus> sessions() const;

    /// Whether every session that may hold a lease has applied @p version; false when this controller does not lead.
    bool isAppliedEverywhere(LogIndex version) const;

private:
    std::unique_ptr<internal::CoordinatorCore> m_core;
};

} // namespace Toucandeck
