#pragma once

#include "ownership/world.h"

#include <cstdint>
#include <map>
#include <string>

namespace Toucandeck::OwnershipRun
{

/// Injects faults into a World and counts them by kind.
class Faults
{
public:
    explicit Faults(World &world);

    /// Injects faults at random moments for this long.
    void chaos(Duration length);

    /// Ends all faults and waits until the deployment must have recovered.
    void heal();

    /// Loses one random router, or the leader; checks that every key is served again within 1 s.
    void loseOneRouter();
    void loseLeader();

    /// Takes a failure domain out and back, without other faults.
    void takeDomainOutAndBack();

    const std::map<std::string, std::uint64_t> &counts() const;
    Duration longestGapAfterLoss() const;

private:
    using Fault = void (Faults::*)();

    void pauseRouter();
    void pauseController();
    void restartController();
    void killRouter();
    void closeRouter();
    void restartRouterAtOnce();
    void partitionOneWay();
    void partitionTwoWays();
    void isolateLeader();
    void isolateRouter();
    void raceEdits();
    void toggleDomain();
    void toggleLeaveTime();
    void changeBackend();
    void reportHotKey();

    void cutFor(const std::string &from, const std::string &to, Duration length);
    Router &anyRouter();
    Controller &anyController();
    Duration between(Duration shortest, Duration longest);
    void checkGap(const std::string &what);

    World &m_world;
    std::map<std::string, std::uint64_t> m_counts;
    Duration m_longestGapAfterLoss{ 0 };
};

} // namespace Toucandeck::OwnershipRun
