// Randomised run of module ownership. Usage: prove_ownership [--seed N] [--seconds N].
#include "ownership/faults.h"

#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <string_view>

using namespace Toucandeck;
using namespace Toucandeck::OwnershipRun;
using namespace std::chrono_literals;

namespace
{

struct Options
{
    std::uint64_t seed = 1;
    std::uint64_t seconds = 20;
};

Options parse(int argc, char **argv)
{
    Options options;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string_view name = argv[i];
        const auto value = std::strtoull(argv[i + 1], nullptr, 10);
        if (name == "--seed") {
            options.seed = value;
        } else if (name == "--seconds") {
            options.seconds = value;
        } else {
            fmt::print(stderr, "prove_ownership: unknown option '{}' (known: --seed N, --seconds N)\n", name);
            std::exit(2);
        }
    }
    return options;
}

/// Alternates random faults with single losses until the time is over. The actions depend on the seed alone; the time decides only how many
/// rounds there are.
void rounds(Faults &faults, const World &world, std::chrono::steady_clock::time_point end)
{
    while (std::chrono::steady_clock::now() < end && world.checker.violations().empty()) {
        faults.chaos(20s);
        faults.heal();
        for (int i = 0; i < 3; ++i) {
            faults.loseOneRouter();
        }
        faults.loseLeader();
        faults.takeDomainOutAndBack();
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parse(argc, argv);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
    World world(options.seed);
    world.settle();
    Faults faults(world);
    rounds(faults, world, end);
    for (const auto &it : world.checker.violations()) {
        fmt::print(stderr, "violation {}\n", it);
    }
    std::string kinds;
    for (const auto &[name, n] : faults.counts()) {
        kinds += fmt::format(" {}={}", name, n);
    }
    fmt::print("prove_ownership seed={} steps={} virtual_s={} admissions={} elections={} messages_lost={}{} violations={} "
               "worst_without_owner_ms={}\n",
               options.seed,
               world.time.steps(),
               world.time.now() / 1s,
               world.checker.admissions(),
               world.log.elections(),
               world.network.lost(),
               kinds,
               world.checker.violations().size(),
               faults.longestGapAfterLoss() / 1ms);
    return world.checker.violations().empty() ? 0 : 1;
}
