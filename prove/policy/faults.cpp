#include "model_cluster.h"

namespace Toucandeck::Model
{

using namespace std::chrono_literals;

namespace
{

// Requests that reach a server after it turned cold and before the router receives the first shed response, 0.2 ms later.
constexpr std::uint64_t kShedsBeforeDetection = 4;

ModelNode &randomNode(ModelCluster &cluster)
{
    const auto service = static_cast<unsigned>(cluster.simulator.random.below(kServices));
    return cluster.node(service, static_cast<unsigned>(cluster.simulator.random.below(kDomains)));
}

bool allNodesServing(ModelCluster &cluster)
{
    for (unsigned service = 0; service < kServices; ++service) {
        for (const auto *it : cluster.nodesOf(service)) {
            if (!it->alive || it->state != ServingState::Serving) {
                return false;
            }
        }
    }
    return true;
}

void injectStraggler(ModelCluster &cluster)
{
    auto &node = randomNode(cluster);
    node.backend.slowFactor = 5;
    cluster.simulator.after(cluster.simulator.between(500ms, 3s), [&node] { node.backend.slowFactor = 1; });
}

void injectColdStart(ModelCluster &cluster)
{
    auto &node = randomNode(cluster);
    cluster.allowedSheds += kShedsBeforeDetection;
    node.backend.turnCold();
}

void injectShedding(ModelCluster &cluster)
{
    auto &node = randomNode(cluster);
    node.backend.shedProbability = 0.5;
    cluster.simulator.after(cluster.simulator.between(20ms, 300ms), [&node] { node.backend.shedProbability = 0; });
}

void injectWrongReports(ModelCluster &cluster)
{
    auto &forwarder = cluster.randomForwarder();
    forwarder.reportFault = 1 + static_cast<unsigned>(cluster.simulator.random.below(2));
    cluster.simulator.after(cluster.simulator.between(1s, 3s), [&forwarder] { forwarder.reportFault = 0; });
}

void injectMessageLoss(ModelCluster &cluster)
{
    cluster.lossProbability = 0.01;
    cluster.simulator.after(cluster.simulator.between(100ms, 1s), [&cluster] {
        cluster.lossProbability = 0;
        cluster.recordDisturbance();
    });
}

void injectOwnerCrash(ModelCluster &cluster)
{
    if (!allNodesServing(cluster)) {
        return;
    }
    auto &node = randomNode(cluster);
    cluster.crash(node);
    cluster.simulator.after(cluster.simulator.between(2s, 4s), [&cluster, &node] {
        ++cluster.faults["cold_return"];
        node.state = ServingState::Serving;
        node.restart(true);
    });
}

void injectDomainLeave(ModelCluster &cluster)
{
    if (!allNodesServing(cluster)) {
        return;
    }
    const auto domain = static_cast<unsigned>(cluster.simulator.random.below(kDomains));
    for (unsigned service = 0; service < kServices; ++service) {
        auto &node = cluster.node(service, domain);
        node.setState(ServingState::Leaving);
        cluster.movePartitions(node);
        cluster.simulator.after(3s, [&node] { node.setState(ServingState::Out); });
        cluster.simulator.after(cluster.simulator.between(4s, 6s), [&node] {
            node.state = ServingState::Serving;
            node.restart(true);
        });
    }
}

void injectMove(ModelCluster &cluster)
{
    auto &node = randomNode(cluster);
    if (node.alive && node.state == ServingState::Serving) {
        cluster.movePartitions(node);
    }
}

struct Fault
{
    const char *name;
    void (*inject)(ModelCluster &);
    Duration meanInterval;
};

constexpr Fault kFaults[] = {
    { "straggler", injectStraggler, 4s },
    { "turned_cold", injectColdStart, 6s },
    { "shedding", injectShedding, 5s },
    { "wrong_reports", injectWrongReports, 4s },
    { "loss_phase", injectMessageLoss, 8s },
    { "crash_attempt", injectOwnerCrash, 9s },
    { "domain_leave_attempt", injectDomainLeave, 13s },
    { "move_attempt", injectMove, 3s },
};

void scheduleRepeatedly(ModelCluster &cluster, const Fault &fault)
{
    cluster.simulator.after(cluster.simulator.exponential(fault.meanInterval), [&cluster, &fault] {
        ++cluster.faults[fault.name];
        fault.inject(cluster);
        scheduleRepeatedly(cluster, fault);
    });
}

} // namespace

void scheduleFaults(ModelCluster &cluster)
{
    for (const auto &it : kFaults) {
        scheduleRepeatedly(cluster, it);
    }
}

} // namespace Toucandeck::Model
