// control_cost: bytes, processor time and memory that control takes on each node of an idle deployment, at several sizes.
#include "measurement.h"
#include "process_usage.h"

#include <fmt/format.h>

namespace Toucandeck::Bench
{

namespace
{

using Standin::ProcessUsage;

constexpr std::uint32_t kNodeCounts[] = { 8, 16, 32, 64 };
constexpr Duration kObserve = std::chrono::seconds(10);
/// Ethernet, IP and TCP headers with timestamps, for a packet and for its acknowledgement.
constexpr double kHeaderBytesPerPacket = 2 * (14 + 20 + 32);

Standin::Layout layoutOf(std::uint32_t nodes)
{
    Standin::Layout layout;
    layout.name = "control";
    layout.failureDomains = { "a", "b", "c", "d" };
    Standin::LayoutService service;
    service.name = "clue-svc";
    service.instances = nodes;
    service.key = "segment:1";
    layout.services = { service };
    return layout;
}

struct Sample
{
    std::map<std::string, Standin::LinkTraffic> traffic;
    std::map<std::string, ProcessUsage> usage;
};

Sample sample(Deployment &deployment)
{
    auto &cluster = *deployment.cluster;
    Sample it;
    it.traffic = cluster.linkTraffic();
    for (const auto &name : cluster.controllerNames()) {
        it.usage[name] = ProcessUsage::of(cluster.process(name)->pid());
    }
    for (const auto &name : cluster.instanceNames()) {
        const auto router = "router-" + name;
        it.usage[router] = ProcessUsage::of(cluster.process(router)->pid());
    }
    return it;
}

double bytesPerSecond(const Standin::LinkTraffic &before, const Standin::LinkTraffic &after)
{
    const auto bytes = static_cast<double>(after.bytes - before.bytes);
    const auto packets = static_cast<double>(after.packets - before.packets);
    return (bytes + packets * kHeaderBytesPerPacket) / std::chrono::duration<double>(kObserve).count();
}

double cpuPercent(const ProcessUsage &before, const ProcessUsage &after)
{
    return 100 * std::chrono::duration<double>(after.cpu - before.cpu) / std::chrono::duration<double>(kObserve);
}

struct Cost
{
    double routerReceived = 0; ///< Bytes per second to one router.
    double controllersReceived = 0; ///< Bytes per second to all controllers.
    double routerCpu = 0; ///< Percent of a core, mean of the routers.
    double leaderCpu = 0; ///< Percent of a core, of the busiest controller.
    double routerMemory = 0; ///< MiB, largest router.
    double controllerMemory = 0; ///< MiB, largest controller.
};

Result<Cost> costAt(const MeasureOptions &options, std::uint32_t nodes)
{
    BOOST_LEAF_AUTO(deployment, Deployment::start(options, layoutOf(nodes)));
    runFor(*deployment->loop, std::chrono::seconds(3));
    const auto before = sample(*deployment);
    runFor(*deployment->loop, kObserve);
    auto after = sample(*deployment);
    Cost cost;
    constexpr double kMebibyte = 1024.0 * 1024.0;
    for (const auto &[name, usage] : before.usage) {
        const bool isRouter = name.rfind("router-", 0) == 0;
        const auto cpu = cpuPercent(usage, after.usage[name]);
        const auto memory = static_cast<double>(after.usage[name].residentBytes) / kMebibyte;
        const auto received = bytesPerSecond(before.traffic.at(name), after.traffic[name]);
        if (isRouter) {
            cost.routerReceived += received / nodes;
            cost.routerCpu += cpu / nodes;
            cost.routerMemory = std::max(cost.routerMemory, memory);
        } else {
            cost.controllersReceived += received;
            cost.leaderCpu = std::max(cost.leaderCpu, cpu);
            cost.controllerMemory = std::max(cost.controllerMemory, memory);
        }
    }
    return cost;
}

} // namespace

Result<void> measureControlCost(const MeasureOptions &options)
{
    std::vector<Cost> costs;
    for (const auto nodes : kNodeCounts) {
        BOOST_LEAF_AUTO(cost, costAt(options, nodes));
        fmt::print("control_cost nodes={} router_received={:.0f} B/s controllers_received={:.0f} B/s router_cpu={:.3f}% leader_cpu={:.3f}% "
                   "router_memory={:.1f} MiB controller_memory={:.1f} MiB\n",
                   nodes,
                   cost.routerReceived,
                   cost.controllersReceived,
                   cost.routerCpu,
                   cost.leaderCpu,
                   cost.routerMemory,
                   cost.controllerMemory);
        costs.push_back(cost);
    }
    const auto &first = costs.front();
    const auto &last = costs.back();
    const double more = kNodeCounts[std::size(kNodeCounts) - 1] - kNodeCounts[0];
    const double sentPerRouter = (last.controllersReceived - first.controllersReceived) / more;
    fmt::print("control_cost_bytes ours={:.0f} naive=0 unit=B/s n={}\n", last.routerReceived + sentPerRouter, costs.size());
    fmt::print("control_cost_router_cpu ours={:.3f} naive=0 unit=% n={}\n", last.routerCpu, costs.size());
    fmt::print("control_cost_router_memory ours={:.1f} naive=0 unit=MiB n={}\n", last.routerMemory, costs.size());
    fmt::print(
        "control_cost_leader_cpu_slope ours={:.4f} naive=0 unit=%/node n={}\n", (last.leaderCpu - first.leaderCpu) / more, costs.size());
    fmt::print("control_cost_controller_memory_slope ours={:.4f} naive=0 unit=MiB/node n={}\n",
               (last.controllerMemory - first.controllerMemory) / more,
               costs.size());
    return {};
}

} // namespace Toucandeck::Bench
