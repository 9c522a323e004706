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

/// What the leader knows about one session.
struct SessionStatus
{
    SessionId session;
    std::string service;
    std::string failureDomain;
    std::string instance;
    /// Last renewal received by this leader; nothing before the first one.
    std::optional<TimePoint> lastRenewal;
    /// End of the lease as the leader counts it.
    TimePoint leaseEnd;
    /// Version that the router had applied when it sent the last renewal.
    LogIndex version;
    std::uint32_t inFlight = 0;
    std::uint32_t loadPermille = 0;
    bool backendReady = false;
    bool cold = false;
};

/// Parts that Coordinator works with. All must outlive it.
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

/// Leader side of ownership: leases, grants, moves, leave times, publishing of deltas. Exists at every controller; decides only at
/// the leader. Lease ends are volatile; everything that must survive goes through the log.
class Coordinator
{
public:
    explicit Coordinator(const CoordinatorParts &parts);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// To be called once the replica leads and has applied an entry of its own term. Every session counts as renewed now.
    void becameLeader();
    /// Forgets all volatile state.
    void lostLeadership();

    /// A message from the router at @p sender: Register, Renew, Release, CloseRequest or FetchView. Other bodies are ignored.
    void receive(const std::string &sender, const wire::Envelope &envelope);

    /// To be called at every controller, leader or not, right after the state has applied a command. At the leader the times of
    /// these calls are the commit times of the view-age rule.
    void applied(LogIndex index, const wire::ViewDelta &delta);

    /// Every 10 ms.
    void tick();

    /// Sessions of the replicated state, with what this leader knows; empty when it does not lead.
    std::vector<SessionStatus> sessions() const;

    /// True if each session that may hold a lease has applied @p version; false when this controller does not lead.
    bool appliedEverywhere(LogIndex version) const;

private:
    std::unique_ptr<internal::CoordinatorCore> m_core;
};

} // namespace Toucandeck
