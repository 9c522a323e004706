#include "world.h"

namespace Toucandeck::Model
{

using namespace std::chrono_literals;

namespace
{

// Requests sent between the turn to cold and the first shed answer, which the router sees 0.2 ms later.
constexpr std::uint64_t kShedsBeforeDetection = 4;

ModelNode &anyNode(World &world)
{
    const auto service = static_cast<unsigned>(world.simulator.random.below(kServices));
    return world.node(service, static_cast<unsigned>(world.simulator.random.below(kDomains)));
}

bool allServe(World &world)
{
    for (unsigned service = 0; service < kServices; ++service) {
        for (const auto *it : world.nodesOf(service)) {
            if (!it->alive || it->state != ServingState::Serving) {
                return false;
            }
        }
    }
    return true;
}

void straggler(World &world)
{
    auto &node = anyNode(world);
    node.backend.slowFactor = 5;
    world.simulator.after(world.simulator.between(500ms, 3s), [&node] { node.backend.slowFactor = 1; });
}

void turnCold(World &world)
{
    auto &node = anyNode(world);
    world.allowedSheds += kShedsBeforeDetection;
    node.backend.turnCold();
}

void shedding(World &world)
{
    auto &node = anyNode(world);
    node.backend.shedShare = 0.5;
    world.simulator.after(world.simulator.between(20ms, 300ms), [&node] { node.backend.shedShare = 0; });
}

void wrongReports(World &world)
{
    auto &front = world.anyFront();
    front.reportFault = 1 + static_cast<unsigned>(world.simulator.random.below(2));
    world.simulator.after(world.simulator.between(1s, 3s), [&front] { front.reportFault = 0; });
}

void loss(World &world)
{
    world.lossShare = 0.01;
    world.simulator.after(world.simulator.between(100ms, 1s), [&world] {
        world.lossShare = 0;
        world.disturb();
    });
}

void ownerCrash(World &world)
{
    if (!allServe(world)) {
        return;
    }
    auto &node = anyNode(world);
    world.crash(node);
    world.simulator.after(world.simulator.between(2s, 4s), [&world, &node] {
        ++world.faults["cold_return"];
        node.state = ServingState::Serving;
        node.restart(true);
    });
}

void domainLeaves(World &world)
{
    if (!allServe(world)) {
        return;
    }
    const auto domain = static_cast<unsigned>(world.simulator.random.below(kDomains));
    for (unsigned service = 0; service < kServices; ++service) {
        auto &node = world.node(service, domain);
        node.setState(ServingState::Leaving);
        world.movePartitions(node);
        world.simulator.after(3s, [&node] { node.setState(ServingState::Out); });
        world.simulator.after(world.simulator.between(4s, 6s), [&node] {
            node.state = ServingState::Serving;
            node.restart(true);
        });
    }
}

void singleMove(World &world)
{
    auto &node = anyNode(world);
    if (node.alive && node.state == ServingState::Serving) {
        world.movePartitions(node);
    }
}

struct Fault
{
    const char *name;
    void (*inject)(World &);
    Duration meanInterval;
};

constexpr Fault kFaults[] = {
    { "straggler", straggler, 4s },
    { "turned_cold", turnCold, 6s },
    { "shedding", shedding, 5s },
    { "wrong_reports", wrongReports, 4s },
    { "loss_phase", loss, 8s },
    { "crash_attempt", ownerCrash, 9s },
    { "domain_leave_attempt", domainLeaves, 13s },
    { "move_attempt", singleMove, 3s },
};

void repeat(World &world, const Fault &fault)
{
    world.simulator.after(world.simulator.exponential(fault.meanInterval), [&world, &fault] {
        ++world.faults[fault.name];
        fault.inject(world);
        repeat(world, fault);
    });
}

} // namespace

void scheduleFaults(World &world)
{
    for (const auto &it : kFaults) {
        repeat(world, it);
    }
}

} // namespace Toucandeck::Model
