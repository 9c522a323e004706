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

/// Times of the leases on keys.
struct KeyLeaseOptions
{
    /// Long enough for an election, short enough that a lost holder's keys come back soon.
    Duration lease = std::chrono::milliseconds(3500); ///< Counts at the router from the sending of its announcement.
    double clockDrift = 0.03; ///< By which a holder's clock may run slow, with a margin.
    Duration settle = std::chrono::milliseconds(1200); ///< First keys are granted when no holder has joined for this long.
    Duration rebalanceInterval = std::chrono::milliseconds(600); ///< About the time that moved keys take to be served again.
    double minimumRate = 10; ///< Requests per second below which demand says too little to move keys.
};

/// A backend server that can hold keys.
struct KeyHolder
{
    std::string incarnation;
    std::string router; ///< IP address of the router beside it.
    std::string service;
    double capacity = 1; ///< Requests per second that it can run.
    std::vector<DemandPoint> demand; ///< In the keys that it holds.
    bool mayHold = true; ///< Serves, and is neither draining nor evacuated.
};

/// The leading controller's decisions about keys: who holds them, when a lost holder's keys are free, and which keys move.
///
/// A holder keeps keys only under a lease. Keys change hands when the holder has released them (with a handover token), when its
/// process has surely ended, or when its lease has ended by any clock.
class KeyCoordinator
{
public:
    /// Proposes a complete key table; the callback tells whether it was committed.
    using Propose = std::function<void(const wire::KeyTable &, std::function<void(bool)>)>;

    /// @param planner decides which keys move because of load; all references must outlive the coordinator.
    KeyCoordinator(
        const Clock &clock, Logger &logger, const FleetState &state, const KeyPlanner &planner, KeyLeaseOptions options, Propose propose);

    /// This controller begins to lead. All leases may have been renewed until now.
    void leadershipGained();

    /// Lease for a holder, counted from now on. Names all keys that it may hold.
    wire::LeaseGrant grant(const std::string &service, const std::string &incarnation);

    /// The holder has released keys that it was asked to release, or gives up by itself.
    void freed(const std::string &service, const wire::FreedKeys &keys);

    /// The process of the holder has surely ended.
    void ended(const std::string &incarnation);

    /// An incarnation announces itself beside a router: earlier ones there have ended.
    void seen(const std::string &service, const std::string &router, const std::string &incarnation);

    /// Decides and proposes. @param holders of all keyed services that announce themselves now.
    void tick(const std::vector<std::string> &keyedServices, const std::vector<KeyHolder> &holders);

    /// Keys that a holder is to release and that are not free yet.
    std::size_t releasing() const;

    /// Incarnations whose grants have changed since the last call; they should hear of it at once.
    std::set<std::string> takeChangedHolders();

private:
    struct Release
    {
        KeyRange range;
        std::string from; ///< Incarnation of the present holder.
        std::uint64_t fence = 0; ///< Of the present holder; keys that it gets again later have another one.
        std::string to; ///< Incarnation that is to have the keys; empty: whoever fits.
        TimePoint freeAt; ///< End of the last lease that named the keys.
    };

    struct Freed
    {
        std::string incarnation;
        std::uint64_t fence = 0;
        KeyRange range;
        std::string handover;
        TimePoint at;
    };

    struct ReportedDemand
    {
        std::vector<DemandPoint> points;
        TimePoint at;
    };

    struct ServiceState
    {
        std::vector<Release> releases;
        std::vector<Freed> freed;
        std::map<std::string, ReportedDemand> demand; ///< By incarnation, also of those that were just lost.
        std::size_t holdersSeen = 0;
        TimePoint holdersChanged;
        TimePoint lastRebalance;
        bool proposing = false;
    };

    using Holders = std::vector<const KeyHolder *>;

    /// The holders of a service at one time, and the keys as this round of decisions leaves them.
    struct Round
    {
        Holders announced;
        Holders usable; ///< May be given keys; not empty.
        KeyRows rows;
        KeyLoads loads; ///< Of the usable ones.
    };

    /// The row still stands as it did when its keys were released.
    template<class T>
    static bool concerns(const T &it, const std::string &holder, const KeyRow &row)
    {
        return row.holder == holder && row.fence == it.fence && row.range.overlaps(it.range);
    }

    TimePoint leaseEnd(const std::string &incarnation) const;
    bool isFree(const std::string &incarnation, const Holders &announced) const;
    void tickService(const std::string &service, const Holders &announced);
    void noteDemand(ServiceState &state, const Holders &announced) const;
    static std::vector<DemandPoint> allDemand(const ServiceState &state);
    static KeyLoads loadsOf(const ServiceState &state, const Holders &usable, const KeyRows &rows);
    bool grantFirst(const KeyTable &table, const ServiceState &state, Round &round) const;
    bool takeFreed(const ServiceState &state, Round &round) const;
    bool placeFreed(const ServiceState &state, Round &round, KeyRange range, const Freed &freed) const;
    bool takeExpired(const ServiceState &state, Round &round) const;
    bool takeLost(ServiceState &state, Round &round);
    void releaseFromLeaving(ServiceState &state, Round &round);
    void rebalance(ServiceState &state, const Round &round);
    void startRelease(ServiceState &state, const KeyRow &row, KeyRange range, const KeyHolder &to);
    /// Gives keys to the holder wanted if it can have them, else to those with least to do.
    static void giveTo(Round &round, KeyRange range, const std::string &wanted, const std::string &handover);
    static void giveTo(Round &round, KeyRange range, std::size_t holder, const std::string &handover);
    void propose(const std::string &service, const KeyTable &table, ServiceState &state, const KeyRows &rows);

    const Clock &m_clock;
    Logger &m_logger;
    const FleetState &m_state;
    const KeyPlanner &m_planner;
    KeyLeaseOptions m_options;
    Propose m_propose;
    TimePoint m_leadsSince;
    std::map<std::string, TimePoint> m_leaseEnds; ///< By incarnation.
    std::map<std::string, TimePoint> m_ended; ///< Incarnations whose process has ended, and since when that is known.
    std::map<std::string, ServiceState> m_services;
    std::set<std::string> m_changedHolders;
};

} // namespace Toucandeck
