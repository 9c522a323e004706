// bench_processes: measurements with real processes on loopback.
#include "measurement.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <unistd.h>

namespace Toucandeck::Bench
{

Result<std::unique_ptr<Deployment>>
Deployment::start(const MeasureOptions &options, const Standin::Layout &layout, std::uint32_t controllers)
{
    static int number = 0;
    auto deployment = std::make_unique<Deployment>();
    BOOST_LEAF_ASSIGN(deployment->loop, EventLoop::create(deployment->clock));
    Standin::LocalClusterOptions cluster;
    cluster.binaryFolder = options.binaryFolder;
    cluster.workFolder = fmt::format("{}/{}-{}", options.workFolder, ::getpid(), ++number);
    cluster.controllers = controllers;
    BOOST_LEAF_ASSIGN(deployment->cluster, Standin::LocalCluster::create(*deployment->loop, deployment->logger, layout, cluster));
    BOOST_LEAF_CHECK(deployment->cluster->start(std::chrono::seconds(60)));
    return deployment;
}

Deployment::~Deployment()
{
    if (cluster) {
        cluster->stop();
    }
}

} // namespace Toucandeck::Bench

int main(int argc, char **argv)
{
    using namespace Toucandeck;
    using namespace Toucandeck::Bench;
    struct Entry
    {
        const char *name;
        Result<void> (*measure)(const MeasureOptions &);
    };
    static constexpr Entry kEntries[] = {
        { "added_latency", measureAddedLatency },    { "requests_per_core_s", measureRequestsPerCore },
        { "unavailable_ms", measureUnavailability }, { "domain_leave", measureDomainLeave },
        { "control_cost", measureControlCost },
    };
    CLI::App app{ "Measures a deployment of real processes on loopback." };
    MeasureOptions options;
    std::string name;
    app.add_option("NAME", name, "Measurement; all without a name");
    app.add_option("--binaries", options.binaryFolder, "Build folder")->required();
    app.add_option("--work", options.workFolder, "Folder for settings, data and logs")->required();
    app.add_option("--layout", options.layout, "Layout file")->required();
    app.add_option("--runs", options.runs, "Runs of each measurement")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    int status = 0;
    bool known = name.empty();
    for (const auto &it : kEntries) {
        if (!name.empty() && name != it.name) {
            continue;
        }
        known = true;
        status |= handleError(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(it.measure(options));
                return 0;
            },
            [&](const Error &error) {
                fmt::print(stderr, "{}: {}\n", it.name, error.message);
                return 1;
            });
    }
    if (!known) {
        fmt::print(stderr, "bench_processes: unknown measurement '{}'\n", name);
        return 2;
    }
    return status;
}
