// added_latency and requests_per_core_s: the cost of the routers themselves, beside a bare proxy hop.
#include "free_ports.h"
#include "measurement.h"
#include "process_usage.h"

#include <fmt/format.h>

namespace Toucandeck::Bench
{

namespace
{

using Standin::ChildProcess;
using Standin::ProcessUsage;

constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kSettle = std::chrono::seconds(5);
constexpr int kWarmUpCalls = 200;
constexpr int kCallsPerRun = 1000;
constexpr std::size_t kConcurrency = 8;
constexpr Duration kLoadTime = std::chrono::seconds(4);

/// Two instances of one keyed service that answers at once; no network delay.
Standin::Layout pathLayout()
{
    Standin::Layout layout;
    layout.name = "path";
    layout.failureDomains = { "a", "b" };
    Standin::LayoutService service;
    service.name = "clue-svc";
    service.instances = 2;
    service.key = "segment:1";
    service.serviceTime = std::chrono::milliseconds(0);
    layout.services = { service };
    return layout;
}

HttpRequest lookup(const std::string &key)
{
    HttpRequest request;
    request.target = "/clue-svc/" + key;
    setHeader(request.headers, "Toucandeck-Load-Id", "x");
    return request;
}

std::vector<double> callTimes(Deployment &deployment, const std::string &target, const std::string &key, int calls)
{
    std::vector<double> times;
    for (int n = 0; n < calls; ++n) {
        const auto start = deployment.clock.now();
        const auto result = deployment.cluster->call(target, lookup(key), kCallTimeout);
        if (result.response && result.response->status == 200) {
            times.push_back(toMs(deployment.clock.now() - start));
        }
    }
    return times;
}

/// Name of the instance that answers for the key.
std::string ownerOf(Deployment &deployment, const std::string &key)
{
    const auto result = deployment.cluster->call(deployment.cluster->routerAddresses().front(), lookup(key), kCallTimeout);
    return result.response ? std::string(result.response->header("Toucandeck-Load-Instance").value_or("")) : "";
}

Result<std::pair<std::unique_ptr<ChildProcess>, std::string>>
startProxy(const MeasureOptions &options, Deployment &deployment, const std::string &target)
{
    const auto port = Standin::freePorts(1).front();
    BOOST_LEAF_AUTO(proxy,
                    ChildProcess::start({ options.binaryFolder + "/bench/bench_proxy", std::to_string(port), target },
                                        options.workFolder + "/proxy.log"));
    runFor(*deployment.loop, std::chrono::milliseconds(200));
    return std::make_pair(std::move(proxy), fmt::format("127.0.0.1:{}", port));
}

/// Requests per second of processor time of the process, under a closed loop of requests.
double requestsPerCpuSecond(Deployment &deployment, const std::string &target, pid_t pid)
{
    HttpClient client(*deployment.loop, {}, deployment.logger);
    std::uint64_t done = 0;
    bool stopping = false;
    std::function<void()> sendNext = [&] {
        client.send(target, lookup(fmt::format("key-{}", done % 64)), kCallTimeout, [&](const HttpResult &result) {
            done += result.response && result.response->status == 200 ? 1 : 0;
            if (!stopping) {
                sendNext();
            }
        });
    };
    for (std::size_t n = 0; n < kConcurrency; ++n) {
        sendNext();
    }
    runFor(*deployment.loop, std::chrono::milliseconds(500));
    const auto before = ProcessUsage::of(pid);
    const auto doneBefore = done;
    runFor(*deployment.loop, kLoadTime);
    const auto after = ProcessUsage::of(pid);
    const auto answered = static_cast<double>(done - doneBefore);
    stopping = true;
    runFor(*deployment.loop, std::chrono::milliseconds(200));
    return answered / std::max(std::chrono::duration<double>(after.cpu - before.cpu).count(), 1e-9);
}

} // namespace

Result<void> measureAddedLatency(const MeasureOptions &options)
{
    BOOST_LEAF_AUTO(deployment, Deployment::start(options, pathLayout()));
    auto &cluster = *deployment->cluster;
    const std::string key = "team-1";
    // Partitions move while instances register one after the other.
    runFor(*deployment->loop, kSettle);
    const auto owner = ownerOf(*deployment, key);
    if (owner.empty()) {
        return fail(ErrorCode::Unavailable, "no instance answered");
    }
    const auto other = owner == "clue-svc-1" ? "clue-svc-2" : "clue-svc-1";
    BOOST_LEAF_AUTO(proxy, startProxy(options, *deployment, cluster.backendAddress(owner)));
    const std::pair<const char *, std::string> targets[] = { { "direct", cluster.backendAddress(owner) },
                                                             { "one_hop", cluster.routerAddress(owner) },
                                                             { "two_hops", cluster.routerAddress(other) },
                                                             { "proxy", proxy.second } };
    std::map<std::string, std::vector<double>> times;
    for (const auto &[name, target] : targets) {
        callTimes(*deployment, target, key, kWarmUpCalls);
    }
    for (std::uint32_t run = 0; run < options.runs; ++run) {
        for (const auto &[name, target] : targets) {
            const auto some = callTimes(*deployment, target, key, kCallsPerRun);
            times[name].insert(times[name].end(), some.begin(), some.end());
        }
    }
    if (ownerOf(*deployment, key) != owner) {
        return fail(ErrorCode::Unavailable, "the key moved during the measurement");
    }
    for (const auto &[label, q] : { std::pair{ "p50", 0.5 }, std::pair{ "p99", 0.99 } }) {
        const auto direct = quantile(times["direct"], q);
        const auto naive = quantile(times["proxy"], q) - direct;
        for (const char *hops : { "one_hop", "two_hops" }) {
            fmt::print("added_latency_{}_{} ours={:.3f} naive={:.3f} unit=ms n={}\n",
                       hops,
                       label,
                       quantile(times[hops], q) - direct,
                       naive,
                       times[hops].size());
        }
    }
    return {};
}

Result<void> measureRequestsPerCore(const MeasureOptions &options)
{
    BOOST_LEAF_AUTO(deployment, Deployment::start(options, pathLayout()));
    auto &cluster = *deployment->cluster;
    BOOST_LEAF_AUTO(proxy, startProxy(options, *deployment, cluster.backendAddress("clue-svc-1")));
    std::vector<double> ours;
    std::vector<double> naive;
    for (std::uint32_t run = 0; run < options.runs; ++run) {
        const auto pid = cluster.process("router-clue-svc-1")->pid();
        ours.push_back(requestsPerCpuSecond(*deployment, cluster.routerAddress("clue-svc-1"), pid));
        naive.push_back(requestsPerCpuSecond(*deployment, proxy.second, proxy.first->pid()));
    }
    fmt::print("requests_per_core_s ours={:.0f} naive={:.0f} unit=1/s n={}\n", quantile(ours, 0.5), quantile(naive, 0.5), options.runs);
    return {};
}

} // namespace Toucandeck::Bench
