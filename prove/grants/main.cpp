// Randomised run of grants by calls, in virtual time. Usage: prove_grants [--seed N] [--seconds N | --worlds N].
#include "grants/grant_world.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

using namespace Toucandeck;
using namespace Toucandeck::GrantRun;
using namespace std::chrono_literals;

int main(int argc, char **argv)
{
    std::uint64_t seed = 1;
    std::uint64_t seconds = 20;
    std::uint64_t worlds = 0;
    CLI::App app("Randomised run of grants by calls");
    app.add_option("--seed", seed, "Seed of the first world");
    app.add_option("--seconds", seconds, "Time to run for");
    app.add_option("--worlds", worlds, "Number of worlds, in place of the time");
    CLI11_PARSE(app, argc, argv);

    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    GrantCounts counts;
    std::uint64_t played = 0;
    std::size_t violations = 0;
    double served = 0;
    while (worlds != 0 ? played < worlds : std::chrono::steady_clock::now() < end) {
        GrantWorld world(seed + played);
        world.run(60s);
        for (const auto &it : world.violations()) {
            fmt::print(stderr, "violation seed={} {}\n", seed + played, it);
        }
        violations += world.violations().size();
        served += world.servedShare();
        counts.add(world.counts());
        ++played;
    }
    fmt::print("prove_grants seed={} worlds={} grants={} unanswered={} late={} releases={} reported={} assignments={} crashes={} "
               "gateway_restarts={} pauses={} cuts={} leader_losses={} violations={} keys_in_use={:.3f}\n",
               seed,
               played,
               counts.grants,
               counts.unanswered,
               counts.late,
               counts.releases,
               counts.reported,
               counts.assignments,
               counts.crashes,
               counts.gatewayRestarts,
               counts.pauses,
               counts.cuts,
               counts.leaderLosses,
               violations,
               served / static_cast<double>(std::max<std::uint64_t>(played, 1)));
    return violations == 0 ? 0 : 1;
}
