#pragma once

#include "common/clock.h"
#include "fleet/fleet_state.h"
#include "fleet/key_planner.h"
#include "log/logger.h"

#include <functional>
#include <map>
#include <optional>
#include <peer.pb.h>
#include <set>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Settings of the leases on keys and of rebalancing.
struct KeyLeaseOptions
{
    /// Long enough to outlast an election, short enough that the keys of a lost holder are reassigned soon.
    Duration leaseDuration = std::chrono::milliseconds(3500); ///< Counted at the router from sending its announcement.
    double clockDrift = 0.03; ///< Fraction by which a holder's clock may run slow, with a margin.
    /// Initial keys are assigned once the number of eligible holders has been unchanged for this long.
    Duration settlingTime = std::chrono::milliseconds(1200);
    Duration rebalanceInterval = std::chrono::milliseconds(600); ///< About the time until moved keys are served again.
    double minimumRate = 10; ///< Requests per second; lower demand is too small a sample to move keys by.
};

/// A backend server that can hold keys.
struct KeyHolder
{
    std::string incarnation;
    std::string router; ///< IP address of the router beside it.
    std::string service;
    double capacity = 1; ///< Requests per second.
    std::vector<DemandPoint> demand; ///< Demand for the keys that it holds.
    bool isEligible = true; ///< May be assigned keys: it is ready, and its failure domain is not evacuated.
};

/// The leading controller's decisions about keys: who holds them, when the keys of a lost holder are reassigned, and which keys move.
///
/// A holder keeps keys only under a lease. Keys are assigned to another holder only after the holder has released them (with a handover
/// token), its process is known to have terminated, or its lease has expired even by the slowest permitted clock.
class KeyCoordinator
{
public:
    /// Proposes a complete key table; the callback receives whether it was committed.
    using Propose = std::function<void(const wire::KeyTable &, std::function<void(bool)>)>;

    /// @param planner decides which keys move because of load; all references must outlive the coordinator.
    KeyCoordinator(
        const Clock &clock, Logger &logger, const FleetState &state, const KeyPlanner &planner, KeyLeaseOptions options, Propose propose);

    /// Call when this controller becomes leader. Any lease may have been renewed by the previous leader up to now.
    void onLeadershipGained();

    /// Grants a lease that names all keys the holder may keep, and records its expiry counted from now.
    wire::LeaseGrant grantLease(const std::string &service, const std::string &incarnation);

    /// Call when a holder has released keys, on request or by itself.
    void onReleased(const std::string &service, const wire::FreedKeys &keys);

    /// Call when the process of a holder is known to have terminated.
    void onTerminated(const std::string &incarnation);

    /// Call when an incarnation announces itself beside a router. Earlier incarnations there, of any service, are then known to
    /// have terminated.
    void onIncarnationAnnounced(const std::string &router, const std::string &incarnation);

    /// Decides about keys and proposes changed key tables.
    /// @param holders Currently announced holders of all keyed services.
    void tick(const std::vector<std::string> &keyedServices, const std::vector<KeyHolder> &holders);

    /// Number of key ranges that holders were asked to release and that have no new holder yet.
    std::size_t pendingReleaseCount() const;

    /// Number of services of which decisions in progress are known.
    std::size_t serviceCount() const;

    /// Incarnations whose grants have changed since the last call; their updates should be sent at once.
    std::set<std::string> takeChangedHolders();

private:
    /// Keys that a holder was asked to release.
    struct PendingRelease
    {
        KeyRange range;
        std::string from; ///< Incarnation of the current holder.
        std::uint64_t fencingToken = 0; ///< Of the current holder; a later assignment of the same keys to it has another token.
        std::string to; ///< Incarnation of the next holder; if empty, the least loaded holders get the keys.
        TimePoint leaseExpiry; ///< Latest expiry of a lease that named the keys.
    };

    /// Keys that their holder has released.
    struct ReleasedRange
    {
        std::string incarnation;
        std::uint64_t fencingToken = 0;
        KeyRange range;
        std::string handover;
        TimePoint receivedAt;
    };

    struct ReportedDemand
    {
        std::vector<DemandPoint> points;
        TimePoint receivedAt;
    };

    struct ServiceState
    {
        std::vector<PendingRelease> pendingReleases;
        std::vector<ReleasedRange> releasedRanges;
        std::map<std::string, ReportedDemand> demand; ///< By incarnation, including recently lost ones.
        std::size_t eligibleCount = 0;
        TimePoint lastEligibleChange; ///< Last change of eligibleCount.
        TimePoint lastRebalance;
        std::optional<KeyRows> pendingProposal; ///< Rows that are proposed and neither committed nor rejected.
    };

    using Holders = std::vector<const KeyHolder *>;

    /// Holders of a service at the time of a round of decisions, and the key assignment resulting from the decisions so far.
    struct Round
    {
        Holders announced;
        Holders eligible; ///< Holders that may be assigned keys; not empty.
        KeyRows rows;
        KeyLoads loads; ///< Loads of the eligible holders, with the same indices.
    };

    /// True if the row overlaps the range of the release and still has the assignment to which the release refers.
    template<class T>
    static bool matches(const T &it, const std::string &holder, const KeyRow &row)
    {
        return row.holder == holder && row.fencingToken == it.fencingToken && row.range.overlaps(it.range);
    }

    /// Rows that the incarnation may keep: neither released, nor to be released, nor assigned to another one by a pending proposal.
    static std::vector<KeyRow> rowsToKeep(const KeyRows &rows, const ServiceState &state, const std::string &incarnation);
    /// The part of a row that its holder may keep. Leases are granted hundreds of times a second, so this costs time only in the rows that
    /// overlap.
    static std::vector<KeyRange> rangesToKeep(const KeyRow &row, const ServiceState &state);
    static std::optional<std::size_t> findHolder(const Holders &holders, const std::string &incarnation);
    /// Time by which each lease of the incarnation has expired by any permitted clock, including leases of the previous leader.
    TimePoint latestLeaseExpiry(const std::string &incarnation) const;
    /// True if keys of the incarnation may be assigned to another holder without their release.
    bool isReassignable(const std::string &incarnation, const Holders &announced) const;
    void tickService(const std::string &service, const Holders &announced);
    /// Forgets services that are no longer keyed, unless decisions about their keys are in progress.
    void forgetServices(const std::vector<std::string> &keyedServices);
    void recordDemand(ServiceState &state, const Holders &announced) const;
    static std::vector<DemandPoint> allDemand(const ServiceState &state);
    static KeyLoads loadsOf(const ServiceState &state, const Holders &eligible, const KeyRows &rows);
    /// Partitions all keys once the holders of a new service have settled.
    bool assignInitial(const KeyTable &table, const ServiceState &state, Round &round) const;
    /// Assigns keys that their holders have released.
    bool assignReleased(const ServiceState &state, Round &round) const;
    bool assignReleasedRange(const ServiceState &state, Round &round, KeyRange range, const ReleasedRange &released) const;
    /// Assigns keys whose release was requested and not reported before the lease on them expired.
    bool assignExpired(const ServiceState &state, Round &round) const;
    /// Assigns keys without a holder and those of lost holders.
    bool assignLost(ServiceState &state, Round &round);
    /// Starts the release of all keys of announced holders that may no longer hold keys.
    void releaseFromIneligible(ServiceState &state, Round &round);
    void rebalance(ServiceState &state, const Round &round);
    void startRelease(ServiceState &state, const KeyRow &row, KeyRange range, const KeyHolder &to);
    /// Assigns keys to the preferred holder if it is eligible, otherwise to the least loaded holders.
    static void assignTo(Round &round, KeyRange range, const std::string &preferred, const std::string &handover);
    static void assignTo(Round &round, KeyRange range, std::size_t holder, const std::string &handover);
    void propose(const std::string &service, const KeyTable &table, ServiceState &state, const KeyRows &rows);

    const Clock &m_clock;
    Logger &m_logger;
    const FleetState &m_state;
    const KeyPlanner &m_planner;
    KeyLeaseOptions m_options;
    Propose m_propose;
    TimePoint m_leaderSince;
    std::map<std::string, TimePoint> m_leaseExpiries; ///< Expiry of the latest lease granted here, by incarnation.
    std::map<std::string, TimePoint> m_terminatedIncarnations; ///< Time at which the termination became known.
    std::map<std::string, ServiceState> m_services;
    std::set<std::string> m_changedHolders;
};

} // namespace Toucandeck
