#pragma once

#include "edit_race.h"
#include "local_cluster.h"

#include "common/random_source.h"

#include <map>
#include <string>
#include <vector>

namespace Toucandeck::Prove
{

/// Interval in which a failure domain was in state "out", used by the check that it received no new work.
struct DomainOut
{
    std::string failureDomain;
    TimePoint from;
    TimePoint to;
};

/// Injects faults into a running deployment, at most one controller at a time, and repairs each after a random time.
class Chaos
{
public:
    Chaos(EventLoop &loop, Standin::LocalCluster &cluster, RandomSource &random, EditRace &edits);

    /// Injects one fault, keeps it active for a random time, then repairs it.
    Result<void> step();

    /// Number of faults by kind.
    const std::map<std::string, std::uint64_t> &faults() const;
    const std::vector<DomainOut> &domainsOut() const;

private:
    using Fault = Result<void> (Chaos::*)();

    Result<void> killRouter();
    Result<void> killBackend();
    Result<void> killVm();
    Result<void> killController();
    Result<void> killLeader();
    Result<void> freezeRouter();
    Result<void> freezeBackend();
    Result<void> freezeLeader();
    Result<void> isolateRouter();
    Result<void> isolateLeader();
    Result<void> loseControllerData();
    Result<void> raceEdits();
    Result<void> takeDomainOut();
    Result<void> stopGracefully();

    std::string anyInstance();
    std::string anyController();
    /// Runs the event loop for a random time from @p shortest to below @p longest.
    void waitRandomTime(Duration shortest, Duration longest);
    Result<void> killAndRestart(const std::vector<std::string> &names);
    void freeze(const std::string &name);
    void isolate(const std::string &name);
    Result<void> replaceController(const std::string &name);

    EventLoop &m_loop;
    Standin::LocalCluster &m_cluster;
    RandomSource &m_random;
    EditRace &m_edits;
    std::map<std::string, std::uint64_t> m_faults;
    std::vector<DomainOut> m_domainsOut;
    std::uint64_t m_races = 0;
};

} // namespace Toucandeck::Prove
