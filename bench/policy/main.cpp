/// Compares the daemon's policies with naive ones in virtual time. Usage: bench_policy [NAME]; "decisions" prints the comparisons
/// that docs/policies.md refers to.
#include "scenario.h"

#include <algorithm>
#include <fmt/format.h>
#include <string_view>

using namespace Toucandeck;
using namespace Toucandeck::Bench;
using namespace std::chrono_literals;

namespace
{

using Value = double (*)(const Measurement &);

struct ReportedValue
{
    const char *suffix; ///< Appended to the name of the benchmark.
    const char *unit;
    Value value;
};

struct Benchmark
{
    const char *name;
    Scenario scenario;
    std::vector<ReportedValue> lines;
};

std::vector<Benchmark> benchmarks()
{
    const Value goodput = [](const Measurement &it) { return it.goodput; };
    const Value shed = [](const Measurement &it) { return it.shedAboveCapacity; };
    const auto load = [](double perSecond) { return Scenario{ .requestsPerSecond = perSecond, .length = 4s, .deadline = 100ms }; };
    return {
        { "straggler",
          { .stragglers = true },
          { { "_p50", "ms", [](const Measurement &it) { return it.p50; } },
            { "_p99", "ms", [](const Measurement &it) { return it.p99; } },
            { "_p999", "ms", [](const Measurement &it) { return it.p999; } },
            { "_extra_load", "percent", [](const Measurement &it) { return 100 * (it.attemptsPerRequest - 1); } } } },
        { "cold_start_shed", { .requestsPerSecond = 3000, .cold = Scenario::Cold::Announced }, { { "", "requests", shed } } },
        { "cold_start_shed_unannounced", { .requestsPerSecond = 3000, .cold = Scenario::Cold::Unannounced }, { { "", "requests", shed } } },
        // Four instances with 9 slots each and a mean service time of 3.93 ms have a capacity of 9,160 requests/s.
        { "goodput_1x", load(8500), { { "", "requests/s", goodput } } },
        { "goodput_2x", load(17000), { { "", "requests/s", goodput } } },
        { "goodput_5x", load(42500), { { "", "requests/s", goodput } } },
    };
}

std::vector<Measurement> runAll(const Scenario &scenario, const Model::Policies &policies)
{
    std::vector<Measurement> runs;
    for (std::uint64_t seed = 1; seed <= kRunsPerScenario; ++seed) {
        runs.push_back(runScenario(seed, scenario, policies));
    }
    return runs;
}

Spread spreadOver(const std::vector<Measurement> &runs, Value value)
{
    std::vector<double> values(runs.size());
    std::transform(runs.begin(), runs.end(), values.begin(), value);
    return spreadOf(std::move(values));
}

void measure(const Benchmark &benchmark)
{
    const auto ours = runAll(benchmark.scenario, Model::daemonPolicies());
    const auto naive = runAll(benchmark.scenario, Model::naivePolicies());
    for (const auto &line : benchmark.lines) {
        const auto oursSpread = spreadOver(ours, line.value);
        const auto naiveSpread = spreadOver(naive, line.value);
        fmt::print("{}{} ours={:.1f} naive={:.1f} unit={} n={} spread={:.1f}..{:.1f}\n",
                   benchmark.name,
                   line.suffix,
                   oursSpread.median,
                   naiveSpread.median,
                   line.unit,
                   kRunsPerScenario,
                   oursSpread.minimum,
                   oursSpread.maximum);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view wanted = argc > 1 ? argv[1] : "";
    if (wanted == "decisions") {
        printDecisions();
        return 0;
    }
    bool known = false;
    for (const auto &it : benchmarks()) {
        // A name with a suffix, such as straggler_p99, selects its benchmark.
        if (wanted.empty() || wanted.starts_with(it.name)) {
            known = true;
            measure(it);
        }
    }
    if (!known) {
        fmt::print(stderr,
                   "bench_policy: unknown name '{}' (known: straggler, cold_start_shed, goodput_1x, goodput_2x, goodput_5x, decisions)\n",
                   wanted);
        return 2;
    }
    return 0;
}
