/// Randomised test of admission and routing in virtual time. Usage: prove_policy [--seed N] [--seconds N], where --seconds is the
/// virtual duration of the run.
#include "model_cluster.h"

#include <charconv>
#include <fmt/format.h>
#include <string_view>

using namespace Toucandeck;
using namespace Toucandeck::Model;

namespace
{

struct Options
{
    std::uint64_t seed = 1;
    std::uint64_t seconds = 60;
};

std::optional<Options> parse(int argc, char **argv)
{
    Options options;
    for (int n = 1; n < argc; n += 2) {
        const std::string_view name = argv[n];
        const std::string_view value = n + 1 < argc ? argv[n + 1] : "";
        auto *number = name == "--seed" ? &options.seed : name == "--seconds" ? &options.seconds : nullptr;
        if (number == nullptr) {
            return std::nullopt;
        }
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), *number);
        if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size()) {
            return std::nullopt;
        }
    }
    return options;
}

std::string join(const std::map<std::string, std::uint64_t> &numbers)
{
    std::string buf;
    for (const auto &[name, number] : numbers) {
        buf += fmt::format("{}{}={}", buf.empty() ? "" : ",", name, number);
    }
    return buf.empty() ? "none" : buf;
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parse(argc, argv);
    if (!options) {
        fmt::print(stderr, "usage: prove_policy [--seed N] [--seconds N]\n");
        return 2;
    }
    ModelCluster cluster(options->seed);
    scheduleTraffic(cluster);
    scheduleFaults(cluster);
    cluster.scheduleChecks();
    cluster.simulator.runUntil(cluster.simulator.now() + std::chrono::seconds(options->seconds));
    fmt::print("prove_policy seed={} seconds={} steps={} faults:{} work:{} violations:{}\n",
               options->seed,
               options->seconds,
               cluster.simulator.steps,
               join(cluster.faults),
               join(cluster.counts),
               join(cluster.violations));
    return cluster.violations.empty() ? 0 : 1;
}
