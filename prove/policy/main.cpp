/// Randomised run of admission and routing in virtual time. Usage: prove_policy [--seed N] [--seconds N], with virtual seconds.
#include "world.h"

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
    World world(options->seed);
    scheduleTraffic(world);
    scheduleFaults(world);
    world.watch();
    world.simulator.runUntil(world.simulator.now() + std::chrono::seconds(options->seconds));
    fmt::print("prove_policy seed={} seconds={} steps={} faults:{} work:{} violations:{}\n",
               options->seed,
               options->seconds,
               world.simulator.steps,
               join(world.faults),
               join(world.counts),
               join(world.violations));
    return world.violations.empty() ? 0 : 1;
}
