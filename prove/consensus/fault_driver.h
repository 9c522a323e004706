#pragma once

#include "operator.h"

namespace Toucandeck
{

/// Drives one cluster through rounds of random faults, each followed by a fault-free period in which it must recover.
class FaultDriver
{
public:
    FaultDriver(std::uint64_t seed, int replicas, std::vector<std::string> domains = { "a", "b", "c", "d" });

    /// One round of about 20 s of virtual time with faults, then recovery.
    void round();

    FakeCluster &cluster();
    std::map<std::string, std::uint64_t> faults() const;

private:
    void driveClients();
    void injectFault();
    void crash();
    void pause();
    void partition();
    void oneWayPartition();
    void isolateLeader();
    void heal();
    void loseDisk();
    void loseDiskAfterRepair();
    void failSync();
    void changeNetwork();
    void restartStopped();
    void recover();
    void checkConvergence();
    int randomSlot();

    FakeCluster m_cluster;
    Operator m_operator;
    SeededRandom m_random;
    std::uint64_t m_commands = 0;
    TimePoint m_nextFault;
    TimePoint m_healAt;
    std::map<int, TimePoint> m_restartAt;
    bool m_wasRepaired = true;
    double m_crashBeforeFlushProbability = 0;
    std::map<std::string, std::uint64_t> m_faults;
};

} // namespace Toucandeck
