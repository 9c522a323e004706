// domain_leave: requests failed and answer times while a failure domain leaves and returns, beside a plain restart of its processes.
#include "audit.h"
#include "measurement.h"

#include <csignal>
#include <fmt/format.h>

namespace Toucandeck::Bench
{

namespace
{

constexpr Duration kPhase = std::chrono::seconds(4);
constexpr Duration kEditLimit = std::chrono::seconds(10);
constexpr double kRate = 300;

struct LeaveFigures
{
    double failedPercent = 0; ///< Attempts without a 2xx answer.
    double p99Ms = 0;
};

LeaveFigures figuresOf(const Standin::LoadGenerator &generator)
{
    std::uint64_t attempts = 0;
    std::uint64_t failed = 0;
    for (const auto &record : generator.records()) {
        for (const auto &it : record.attempts) {
            ++attempts;
            failed += it.status >= 200 && it.status < 300 ? 0 : 1;
        }
    }
    return { 100.0 * static_cast<double>(failed) / static_cast<double>(std::max<std::uint64_t>(attempts, 1)),
             toMs(generator.latencyQuantile(0.99)) };
}

/// Runs load while @p leave takes the domain out and @p restore puts it back into service.
Result<LeaveFigures> runWithLoad(Deployment &deployment,
                                 std::uint64_t seed,
                                 const std::function<Result<void>()> &leave,
                                 const std::function<Result<void>()> &restore)
{
    SeededRandom random(seed);
    Standin::LoadOptions load;
    load.routers = deployment.cluster->routerAddresses();
    load.services = deployment.cluster->layout().services;
    load.requestsPerSecond = kRate;
    Standin::LoadGenerator generator(*deployment.loop, load, random, deployment.logger);
    generator.start();
    runFor(*deployment.loop, kPhase);
    BOOST_LEAF_CHECK(leave());
    runFor(*deployment.loop, kPhase);
    BOOST_LEAF_CHECK(restore());
    runFor(*deployment.loop, kPhase);
    bool finished = false;
    generator.stop([&finished] { finished = true; });
    deployment.loop->runUntil([&finished] { return finished; }, std::chrono::seconds(20));
    return figuresOf(generator);
}

std::vector<std::string> backendsOf(Deployment &deployment, const std::string &failureDomain)
{
    std::vector<std::string> all;
    for (const auto &it : deployment.cluster->instanceNames()) {
        if (deployment.cluster->failureDomainOf(it) == failureDomain) {
            all.push_back(it);
        }
    }
    return all;
}

} // namespace

Result<void> measureDomainLeave(const MeasureOptions &options)
{
    BOOST_LEAF_AUTO(layout, Standin::Layout::read(options.layout));
    BOOST_LEAF_AUTO(deployment, Deployment::start(options, layout));
    auto &cluster = *deployment->cluster;
    const auto failureDomain = layout.failureDomains.back();
    std::vector<double> ourFailures;
    std::vector<double> ourP99;
    std::vector<double> naiveFailures;
    std::vector<double> naiveP99;
    for (std::uint32_t run = 0; run < options.runs; ++run) {
        const auto setState = [&](const char *state) -> Result<void> {
            BOOST_LEAF_CHECK(cluster.setRow("*/" + failureDomain + "/*", { { "state", state } }, true, kEditLimit));
            return {};
        };
        BOOST_LEAF_AUTO(ours,
                        runWithLoad(
                            *deployment, run + 1, [&] { return setState("out"); }, [&] { return setState("serving"); }));
        ourFailures.push_back(ours.failedPercent);
        ourP99.push_back(ours.p99Ms);
        // Without a table an operator stops the processes and starts them again.
        const auto stopAll = [&]() -> Result<void> {
            for (const auto &it : backendsOf(*deployment, failureDomain)) {
                cluster.kill(it);
            }
            return {};
        };
        const auto startAll = [&]() -> Result<void> {
            for (const auto &it : backendsOf(*deployment, failureDomain)) {
                BOOST_LEAF_CHECK(cluster.restart(it));
            }
            return {};
        };
        BOOST_LEAF_AUTO(naive, runWithLoad(*deployment, run + 1, stopAll, startAll));
        naiveFailures.push_back(naive.failedPercent);
        naiveP99.push_back(naive.p99Ms);
    }
    fmt::print("domain_leave_failed ours={:.3f} naive={:.3f} unit=% n={} spread={:.3f}..{:.3f}\n",
               quantile(ourFailures, 0.5),
               quantile(naiveFailures, 0.5),
               options.runs,
               quantile(ourFailures, 0),
               quantile(ourFailures, 1));
    fmt::print("domain_leave_p99 ours={:.1f} naive={:.1f} unit=ms n={} spread={:.1f}..{:.1f}\n",
               quantile(ourP99, 0.5),
               quantile(naiveP99, 0.5),
               options.runs,
               quantile(ourP99, 0),
               quantile(ourP99, 1));
    return {};
}

} // namespace Toucandeck::Bench
