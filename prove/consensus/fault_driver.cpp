#include "fault_driver.h"

#include <array>

namespace Toucandeck
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration kFaultPeriod = 20s;
constexpr Duration kRecoveryLimit = 30s;
constexpr int kKeys = 40;

ReplicaOptions driverOptions()
{
    ReplicaOptions options;
    options.snapshotInterval = 60; // small, so that snapshots, chunks and compaction happen often
    options.trailingEntries = 10;
    options.snapshotChunkBytes = 100;
    options.appendBytes = 200;
    options.appendsInFlight = 4;
    return options;
}

} // namespace

FaultDriver::FaultDriver(std::uint64_t seed, int replicas, std::vector<std::string> domains)
    : m_cluster(seed, replicas, driverOptions(), std::move(domains))
    , m_operator(m_cluster)
    , m_random(seed ^ 0x5eedULL)
{
    m_cluster.beforeFlush = [this](int slot) {
        if (m_random.unit() < m_crashBeforeFlushProbability) {
            ++m_faults["crash_before_sync"];
            m_cluster.crash(slot);
            m_restartAt[slot] = m_cluster.clock.now() + Duration(m_random.below(2'000'000'000));
        }
    };
}

FakeCluster &FaultDriver::cluster()
{
    return m_cluster;
}

std::map<std::string, std::uint64_t> FaultDriver::faults() const
{
    auto faults = m_faults;
    for (const auto &[name, count] : m_cluster.network.faults()) {
        faults[name] += count;
    }
    faults["membership_changes"] = m_operator.changes();
    return faults;
}

void FaultDriver::round()
{
    const auto end = m_cluster.clock.now() + kFaultPeriod;
    changeNetwork();
    m_crashBeforeFlushProbability = 0.0002;
    while (m_cluster.clock.now() < end && m_cluster.checker.violations().empty()) {
        m_cluster.step();
        driveClients();
        restartStopped();
        if (m_cluster.steps % 20 == 0) {
            m_operator.act();
            loseDiskAfterRepair();
        }
        if (m_cluster.clock.now() >= m_nextFault) {
            injectFault();
            m_nextFault = m_cluster.clock.now() + Duration(m_random.below(800'000'000));
        }
    }
    recover();
}

int FaultDriver::randomSlot()
{
    return static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_cluster.size())));
}

void FaultDriver::driveClients()
{
    for (int n = 0; n < m_cluster.size(); ++n) {
        const auto &replica = m_cluster.node(n).replica;
        if (!replica || m_cluster.isPaused(n) || !replica->isLeader()) {
            continue;
        }
        if (m_random.unit() < 0.2) {
            m_cluster.propose(n, fmt::format("k{}={}", m_random.below(kKeys), ++m_commands));
        }
        if (m_random.unit() < 0.1) {
            m_cluster.read(n);
        }
    }
}

void FaultDriver::injectFault()
{
    using Fault = void (FaultDriver::*)();
    static constexpr std::array<Fault, 12> kFaults{
        &FaultDriver::crash,         &FaultDriver::pause,    &FaultDriver::partition, &FaultDriver::oneWayPartition,
        &FaultDriver::isolateLeader, &FaultDriver::loseDisk, &FaultDriver::loseDisk,  &FaultDriver::failSync,
        &FaultDriver::changeNetwork, &FaultDriver::heal,     &FaultDriver::heal,      &FaultDriver::heal,
    };
    if (m_random.unit() < 0.1) {
        m_operator.replace(randomSlot());
    }
    (this->*kFaults.at(m_random.below(kFaults.size())))();
}

void FaultDriver::crash()
{
    const int slot = randomSlot();
    if (m_cluster.node(slot).replica) {
        ++m_faults["crash"];
        m_cluster.crash(slot);
        m_restartAt[slot] = m_cluster.clock.now() + Duration(m_random.below(3'000'000'000));
    }
}

void FaultDriver::pause()
{
    ++m_faults["pause"];
    m_cluster.pause(randomSlot(), Duration(m_random.below(3'000'000'000)));
}

void FaultDriver::partition()
{
    ++m_faults["partition"];
    m_cluster.network.heal();
    const auto side = m_random.next();
    for (int from = 0; from < m_cluster.size(); ++from) {
        for (int to = 0; to < m_cluster.size(); ++to) {
            if (((side >> from) & 1) != ((side >> to) & 1)) {
                m_cluster.network.block(from, to);
            }
        }
    }
}

void FaultDriver::oneWayPartition()
{
    ++m_faults["one_way_partition"];
    const int slot = randomSlot();
    const bool outgoing = m_random.below(2) == 0;
    for (int n = 0; n < m_cluster.size(); ++n) {
        m_cluster.network.block(outgoing ? slot : n, outgoing ? n : slot);
    }
}

void FaultDriver::isolateLeader()
{
    if (const auto *leader = m_cluster.leader()) {
        ++m_faults["leader_isolated"];
        m_cluster.network.heal();
        m_cluster.isolate(leader->slot);
        // Injects no other fault for the time of several elections.
        m_nextFault = m_cluster.clock.now() + 2s;
    }
}

void FaultDriver::heal()
{
    m_cluster.network.heal();
}

void FaultDriver::loseDisk()
{
    const int slot = randomSlot();
    if (!m_operator.tolerates(slot)) {
        return;
    }
    ++m_faults[m_operator.isRepaired() ? "disk_lost" : "disk_lost_during_repair"];
    m_cluster.loseDisk(slot);
    m_cluster.start(slot);
}

void FaultDriver::loseDiskAfterRepair()
{
    const bool repaired = m_operator.isRepaired();
    const int slot = randomSlot();
    if (repaired && !m_wasRepaired && m_random.below(2) == 0 && m_operator.tolerates(slot)) {
        ++m_faults["disk_lost_after_repair"];
        m_cluster.loseDisk(slot);
        m_cluster.start(slot);
    }
    m_wasRepaired = repaired;
}

void FaultDriver::failSync()
{
    ++m_faults["sync_failed"];
    m_cluster.node(randomSlot()).store.failNextSync();
}

void FaultDriver::changeNetwork()
{
    m_cluster.network.loss = m_random.below(2) == 0 ? 0 : m_random.unit() * 0.2;
    m_cluster.network.duplication = m_random.below(2) == 0 ? 0 : m_random.unit() * 0.2;
    m_cluster.network.maxDelay = 1ms + Duration(m_random.below(m_random.below(4) == 0 ? 200'000'000 : 10'000'000));
}

void FaultDriver::restartStopped()
{
    for (int n = 0; n < m_cluster.size(); ++n) {
        const auto &replica = m_cluster.node(n).replica;
        const bool due = !replica && m_cluster.clock.now() >= m_restartAt[n];
        if (due || (replica && replica->failure())) {
            m_cluster.start(n);
        }
    }
}

void FaultDriver::recover()
{
    m_crashBeforeFlushProbability = 0;
    m_cluster.network.heal();
    m_cluster.network.loss = m_cluster.network.duplication = 0;
    m_cluster.network.maxDelay = 5ms;
    m_restartAt.clear();
    for (int n = 0; n < m_cluster.size(); ++n) {
        m_cluster.pause(n, 0s);
    }
    const auto acknowledged = m_cluster.checker.acknowledgedCount();
    const bool recovered = m_cluster.runUntil(
        [&] {
            driveClients();
            restartStopped();
            m_operator.act();
            return m_operator.isRepaired() && m_cluster.checker.acknowledgedCount() > acknowledged + 20;
        },
        kRecoveryLimit);
    if (!recovered) {
        m_cluster.checker.violation("no full membership and progress within 30 s after all faults ended");
    }
    m_cluster.run(1s);
    checkConvergence();
}

void FaultDriver::checkConvergence()
{
    auto &checker = m_cluster.checker;
    const auto expected = checker.referenceValues();
    for (int n = 0; n < m_cluster.size(); ++n) {
        const auto &machine = m_cluster.node(n).machine;
        if (machine.lastApplied() < checker.lastAcknowledged()) {
            checker.violation(fmt::format(
                "slot {} has applied up to {}; {} was acknowledged", n, machine.lastApplied().value, checker.lastAcknowledged().value));
        }
        if (machine.values() != expected) {
            checker.violation(fmt::format("slot {} differs from the reference map", n));
        }
    }
}

} // namespace Toucandeck
