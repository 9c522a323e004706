/// Randomised run of module consensus: prove_consensus [--seed N] [--seconds N].
/// Runs clusters of 3 and 5 replicas in turn, each with its own seed, and prints one line with the result. A seed gives the same
/// run on every machine; --seconds only limits how many clusters are run.
#include "fault_driver.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fmt/core.h>

using namespace Toucandeck;

namespace
{

constexpr int kRoundsPerCluster = 4;

std::uint64_t currentSeed = 0; // read by the handler of a failed assertion
std::uint64_t firstSeed = 0;

extern "C" void onAbort(int /*signal*/)
{
    fmt::print("prove consensus seed={} violations=1 (assertion failed in the cluster with seed {})\n", firstSeed, currentSeed);
    std::fflush(stdout);
}

struct Totals
{
    std::uint64_t clusters = 0;
    std::uint64_t steps = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t reads = 0;
    std::uint64_t violations = 0;
    std::map<std::string, std::uint64_t> faults;
};

void runCluster(std::uint64_t seed, Totals &totals)
{
    currentSeed = seed;
    // Every third cluster has more voters in one failure domain than a majority needs, or half of them.
    const std::vector<std::string> domains
        = seed % 3 == 0 ? std::vector<std::string>{ "a", "b", "a" } : std::vector<std::string>{ "a", "b", "c", "d" };
    FaultDriver driver(seed, seed % 2 == 0 ? 3 : 5, domains);
    auto &cluster = driver.cluster();
    for (int n = 0; n < kRoundsPerCluster && cluster.checker.violations().empty(); ++n) {
        driver.round();
    }
    ++totals.clusters;
    totals.steps += cluster.steps;
    totals.acknowledged += cluster.checker.acknowledgedCount();
    totals.reads += cluster.confirmedReads;
    totals.violations += cluster.checker.violations().size();
    for (const auto &[name, count] : driver.faults()) {
        totals.faults[name] += count;
    }
    for (const auto &it : cluster.checker.violations()) {
        fmt::print(stderr, "violation in the cluster with seed {}: {}\n", seed, it);
    }
}

std::uint64_t option(int argc, char **argv, const char *name, std::uint64_t fallback)
{
    for (int n = 1; n + 1 < argc; ++n) {
        if (std::strcmp(argv[n], name) == 0) {
            return std::strtoull(argv[n + 1], nullptr, 10);
        }
    }
    return fallback;
}

} // namespace

int main(int argc, char **argv)
{
    firstSeed = option(argc, argv, "--seed", 1);
    const auto limit = std::chrono::seconds(option(argc, argv, "--seconds", 10));
    if (std::signal(SIGABRT, onAbort) == SIG_ERR) {
        return 2;
    }
    Totals totals;
    const auto start = std::chrono::steady_clock::now();
    for (auto seed = firstSeed; totals.violations == 0; ++seed) {
        runCluster(seed, totals);
        if (std::chrono::steady_clock::now() - start >= limit) {
            break;
        }
    }
    std::string faults;
    for (const auto &[name, count] : totals.faults) {
        faults += fmt::format(" {}={}", name, count);
    }
    fmt::print("prove consensus seed={} clusters={} steps={} acknowledged={} reads={} faults:{} violations={}\n",
               firstSeed,
               totals.clusters,
               totals.steps,
               totals.acknowledged,
               totals.reads,
               faults,
               totals.violations);
    return totals.violations == 0 ? 0 : 1;
}
