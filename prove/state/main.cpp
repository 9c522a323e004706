// Randomised run of module state: random commands with racing and resent edits, session ends, restarts and faulty deltas.
#include "prove/state/state_run.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>

namespace
{

const Toucandeck::testing::StateRun *current = nullptr;
std::uint64_t currentSeed = 0;

void printResult(std::size_t violations)
{
    std::string faults;
    for (const auto &[kind, n] : current->faults()) {
        faults += fmt::format(" {}={}", kind, n);
    }
    fmt::print("state seed={} steps={}{} violations={}\n", currentSeed, current->steps(), faults, violations);
    std::fflush(stdout);
}

/// Counts a failed assertion as a violation and prints the result line, so that the seed is not lost.
void onAbort(int)
{
    printResult(1);
}

} // namespace

int main(int argc, char **argv)
{
    std::uint64_t seed = 1;
    double seconds = 10;
    std::uint64_t maxSteps = 0;
    CLI::App app{ "Randomised run of module state" };
    app.add_option("--seed", seed, "Seed of all random choices");
    app.add_option("--seconds", seconds, "Length of the run in seconds");
    app.add_option("--steps", maxSteps, "End after this many steps instead, to repeat a run exactly");
    CLI11_PARSE(app, argc, argv);

    Toucandeck::testing::StateRun run(seed);
    current = &run;
    currentSeed = seed;
    std::signal(SIGABRT, onAbort);
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    const auto isOver = [&] { return maxSteps > 0 ? run.steps() >= maxSteps : std::chrono::steady_clock::now() >= end; };
    while (!isOver() && run.violations().empty()) {
        run.step();
    }
    for (const auto &it : run.violations()) {
        fmt::print(stderr, "{}\n", it);
    }
    printResult(run.violations().size());
    return run.violations().empty() ? 0 : 1;
}
