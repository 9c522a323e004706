// toucandeck-quickstart: runs a small deployment on loopback under load, takes a failure domain out and back, and reports.
#include "audit.h"
#include "load_generator.h"
#include "local_cluster.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>

using namespace Toucandeck;
using namespace Toucandeck::Standin;

namespace
{

constexpr Duration kStartLimit = std::chrono::seconds(25);
constexpr Duration kPhase = std::chrono::seconds(5);
constexpr Duration kEditLimit = std::chrono::seconds(10);
/// Bound of the promise that a failure domain taken out receives no new work.
constexpr Duration kNoNewWorkAfter = std::chrono::seconds(3);
/// Bound of the promise that an accepted change is in force everywhere.
constexpr Duration kInForceWithin = std::chrono::seconds(6);

struct QuickstartOptions
{
    std::string layout;
    std::string binaryFolder;
    std::string workFolder;
    double rate = 200;
    std::uint64_t seed = 1;
    bool hold = false;
};

/// Result of taking the failure domain out and back.
struct DomainLeave
{
    std::string failureDomain;
    TimePoint out;
    TimePoint back;
    Duration outInForce{};
    Duration backInForce{};
};

void runFor(EventLoop &loop, Duration time)
{
    loop.runUntil([] { return false; }, time);
}

/// Sets the state of the failure domain and returns the time until the change was in force everywhere.
Result<Duration> setDomainState(EventLoop &loop, LocalCluster &cluster, const std::string &failureDomain, const std::string &state)
{
    const auto start = loop.clock().now();
    BOOST_LEAF_AUTO(revision, cluster.setRow("*/" + failureDomain + "/*", { { "state", state } }, true, kEditLimit));
    while (!cluster.isApplied(revision) && loop.clock().now() - start < kEditLimit) {
        runFor(loop, std::chrono::milliseconds(20));
    }
    return loop.clock().now() - start;
}

Result<DomainLeave> takeDomainOutAndBack(EventLoop &loop, LocalCluster &cluster)
{
    DomainLeave leave;
    leave.failureDomain = cluster.layout().failureDomains.back();
    BOOST_LEAF_ASSIGN(leave.outInForce, setDomainState(loop, cluster, leave.failureDomain, "out"));
    leave.out = loop.clock().now() - leave.outInForce;
    runFor(loop, kNoNewWorkAfter + kPhase);
    leave.back = loop.clock().now();
    BOOST_LEAF_ASSIGN(leave.backInForce, setDomainState(loop, cluster, leave.failureDomain, "serving"));
    return leave;
}

std::uint64_t workAfterLeave(const LocalCluster &cluster, const std::vector<Execution> &executions, const DomainLeave &leave)
{
    const auto from = (leave.out + kNoNewWorkAfter).time_since_epoch().count();
    const auto to = leave.back.time_since_epoch().count();
    std::uint64_t count = 0;
    for (const auto &it : executions) {
        if (it.startedNs > from && it.startedNs < to && cluster.failureDomainOf(it.instance) == leave.failureDomain) {
            ++count;
        }
    }
    return count;
}

double toMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Prints how to reach the deployment and keeps it running until SIGINT or SIGTERM.
int hold(EventLoop &loop, LocalCluster &cluster, const std::string &workFolder)
{
    std::string controllers;
    for (const auto &it : cluster.controllerNames()) {
        controllers += (controllers.empty() ? "" : ",") + cluster.controllerAddress(it);
    }
    fmt::print("export TOUCANDECK_CONTROLLERS={}\nexport TOUCANDECK_TOKEN_FILE={}/token\n", controllers, workFolder);
    fmt::print("router: {}\n", cluster.routerAddresses().front());
    std::fflush(stdout);
    const auto interrupted = loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    const auto terminated = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    cluster.stop();
    return 0;
}

Result<int> run(const QuickstartOptions &options)
{
    SystemClock clock;
    SeededRandom random(options.seed);
    StderrLogger logger(clock, "quickstart", LogLevel::Warning);
    BOOST_LEAF_AUTO(loop, EventLoop::create(clock));
    BOOST_LEAF_AUTO(layout, Layout::read(options.layout));
    LocalClusterOptions clusterOptions;
    clusterOptions.binaryFolder = options.binaryFolder;
    clusterOptions.workFolder = options.workFolder;
    clusterOptions.traces = true;
    BOOST_LEAF_AUTO(cluster, LocalCluster::create(*loop, logger, layout, clusterOptions));
    fmt::print("starting {} controllers, {} routers and {} backend servers of layout {}\n",
               cluster->controllerNames().size(),
               cluster->routerAddresses().size(),
               cluster->instanceNames().size(),
               layout.name);
    BOOST_LEAF_CHECK(cluster->start(kStartLimit));

    if (options.hold) {
        return hold(*loop, *cluster, options.workFolder);
    }
    LoadOptions load;
    load.routers = cluster->routerAddresses();
    load.services = layout.services;
    load.requestsPerSecond = options.rate;
    load.callerDelay = layout.callerDelay;
    LoadGenerator generator(*loop, load, random, logger);
    fmt::print("sending {:.0f} requests/s through all routers\n", options.rate);
    generator.start();
    runFor(*loop, kPhase);
    BOOST_LEAF_AUTO(leave, takeDomainOutAndBack(*loop, *cluster));
    fmt::print(
        "{} out in force after {:.0f} ms, back after {:.0f} ms\n", leave.failureDomain, toMs(leave.outInForce), toMs(leave.backInForce));
    runFor(*loop, kPhase);
    bool finished = false;
    generator.stop([&finished] { finished = true; });
    loop->runUntil([&finished] { return finished; }, std::chrono::seconds(20));
    cluster->stop();

    BOOST_LEAF_CHECK(writeCallerRecords(options.workFolder + "/records", generator.records()));
    const auto executions = cluster->executions();
    const auto report = audit(generator.records(), executions);
    const auto late = workAfterLeave(*cluster, executions, leave);
    const bool inForce = leave.outInForce <= kInForceWithin && leave.backInForce <= kInForceWithin;
    fmt::print("{}\n", formatReport(report));
    fmt::print("executions={} new_work_in_{}_after_3s={} answer_time_ms p50={:.1f} p99={:.1f}\n",
               executions.size(),
               leave.failureDomain,
               late,
               toMs(generator.latencyQuantile(0.5)),
               toMs(generator.latencyQuantile(0.99)));
    if (!report.firstViolation.empty()) {
        fmt::print("first violation: {}\n", report.firstViolation);
    }
    const bool good = report.violations() == 0 && late == 0 && inForce && finished && report.answered > 0;
    fmt::print("{}\n", good ? "quickstart: all promises held" : "quickstart: FAILED");
    return good ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{
        "Runs a small deployment on loopback under load, takes a failure domain out and back, and reports what was lost or doubled."
    };
    QuickstartOptions options;
    app.add_option("--layout", options.layout, "Layout file")->required();
    app.add_option("--binaries", options.binaryFolder, "Build folder")->required();
    app.add_option("--work", options.workFolder, "Folder for settings, data, logs and journals")->required();
    app.add_option("--rate", options.rate, "Requests per second")->capture_default_str();
    app.add_option("--seed", options.seed, "Seed of the load")->capture_default_str();
    app.add_flag("--hold", options.hold, "Start the deployment, print its addresses and keep it running until interrupted");
    CLI11_PARSE(app, argc, argv);
    return handleError([&] { return run(options); },
                       [](const Error &error) {
                           fmt::print(stderr, "toucandeck-quickstart: {}\n", error.message);
                           return 1;
                       });
}
