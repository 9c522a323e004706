// prove_processes: real processes on loopback under load and faults; compares the callers' responses with the recorded executions.
#include "audit.h"
#include "chaos.h"
#include "edit_race.h"
#include "load_generator.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fmt/format.h>

using namespace Toucandeck;
using namespace Toucandeck::Standin;
using namespace Toucandeck::Prove;

namespace
{

constexpr Duration kStartTimeout = std::chrono::seconds(60);
constexpr Duration kRecoveryTime = std::chrono::seconds(5);
/// Time after which a failure domain in state "out" must receive no new work.
constexpr Duration kNoNewWorkDelay = std::chrono::seconds(3);

struct ProveOptions
{
    std::uint64_t seed = 1;
    std::int64_t seconds = 60;
    std::string layout = "etc/layouts/cluefire.json";
    std::string binaryFolder;
    std::string workFolder;
    double rate = 150;
};

std::uint64_t workInDomainsOut(const LocalCluster &cluster, const std::vector<Execution> &executions, const std::vector<DomainOut> &domains)
{
    std::uint64_t count = 0;
    for (const auto &it : executions) {
        for (const auto &out : domains) {
            const auto from = (out.from + kNoNewWorkDelay).time_since_epoch().count();
            const bool during = it.startedNs > from && it.startedNs < out.to.time_since_epoch().count();
            count += during && cluster.failureDomainOf(it.instance) == out.failureDomain ? 1 : 0;
        }
    }
    return count;
}

std::string faultText(const std::map<std::string, std::uint64_t> &faults)
{
    std::string text;
    for (const auto &[name, count] : faults) {
        text += fmt::format(" {}={}", name, count);
    }
    return text;
}

Result<int> run(const ProveOptions &options)
{
    SystemClock clock;
    SeededRandom random(options.seed);
    NullLogger logger;
    BOOST_LEAF_AUTO(loop, EventLoop::create(clock));
    BOOST_LEAF_AUTO(layout, Layout::read(options.layout));
    LocalClusterOptions clusterOptions;
    clusterOptions.binaryFolder = options.binaryFolder;
    clusterOptions.workFolder = options.workFolder;
    BOOST_LEAF_AUTO(cluster, LocalCluster::create(*loop, logger, layout, clusterOptions));
    BOOST_LEAF_CHECK(cluster->start(kStartTimeout));

    LoadOptions load;
    load.routers = cluster->routerAddresses();
    load.services = layout.services;
    load.requestsPerSecond = options.rate;
    LoadGenerator generator(*loop, load, random, logger);
    EditRace edits(*cluster);
    Chaos chaos(*loop, *cluster, random, edits);
    generator.start();
    const auto end = clock.now() + std::chrono::seconds(options.seconds);
    std::uint64_t steps = 0;
    std::uint64_t failedSteps = 0;
    while (clock.now() < end) {
        ++steps;
        handleError([&] { return chaos.step(); },
                    [&](const Error &error) {
                        ++failedSteps;
                        fmt::print(stderr, "step {}: {}\n", steps, error.message);
                    });
    }
    cluster->openAllLinks();
    loop->runUntil([] { return false; }, kRecoveryTime);
    edits.checkTable();
    bool finished = false;
    generator.stop([&finished] { finished = true; });
    loop->runUntil([&finished] { return finished; }, std::chrono::seconds(30));
    cluster->stop();

    BOOST_LEAF_CHECK(writeCallerRecords(options.workFolder + "/records", generator.records()));
    const auto executions = cluster->executions();
    const auto report = audit(generator.records(), executions);
    const auto workInDomainOut = workInDomainsOut(*cluster, executions, chaos.domainsOut());
    const auto violations = report.violations() + edits.violations() + workInDomainOut + (finished ? 0 : 1);
    fmt::print("prove_processes seed={} steps={} failed_steps={} faults:{} edit_races={} edit_violations={} work_in_domain_out={} {} "
               "violations={}\n",
               options.seed,
               steps,
               failedSteps,
               faultText(chaos.faults()),
               edits.races(),
               edits.violations(),
               workInDomainOut,
               formatReport(report),
               violations);
    for (const auto &it : { report.firstViolation, edits.firstViolation() }) {
        if (!it.empty()) {
            fmt::print("first violation: {}\n", it);
        }
    }
    return violations == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{ "Runs real processes on loopback under load and faults and checks every promise that callers can see." };
    ProveOptions options;
    options.binaryFolder = std::filesystem::path(argv[0]).parent_path().parent_path().string();
    options.workFolder = (std::filesystem::temp_directory_path() / fmt::format("toucandeck-prove-{}", ::getpid())).string();
    app.add_option("--seed", options.seed, "Seed of the load and the faults")->capture_default_str();
    app.add_option("--seconds", options.seconds, "Length of the run")->capture_default_str();
    app.add_option("--layout", options.layout, "Layout file")->capture_default_str();
    app.add_option("--rate", options.rate, "Requests per second")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    const auto status = handleError([&] { return run(options); },
                                    [](const Error &error) {
                                        fmt::print(stderr, "prove_processes: {}\n", error.message);
                                        return 1;
                                    });
    if (status == 0) {
        std::filesystem::remove_all(options.workFolder);
    } else {
        fmt::print(stderr, "logs and journals are in {}\n", options.workFolder);
    }
    return status;
}
