/// Measures the policies beside the naive ones in virtual time. Usage: bench_policy [NAME]; "decisions" prints the comparisons
/// behind docs/policies.md.
#include "scenario.h"

#include <algorithm>
#include <fmt/format.h>
#include <string_view>

using namespace Toucandeck;
using namespace Toucandeck::Bench;
using namespace std::chrono_literals;

namespace
{

using Value = double (*)(const Measured &);

struct Line
{
    const char *suffix; ///< Follows the name.
    const char *unit;
    Value value;
};

struct Topic
{
    const char *name;
    Scenario scenario;
    std::vector<Line> lines;
};

std::vector<Topic> topics()
{
    const Value goodput = [](const Measured &it) { return it.goodput; };
    const Value shed = [](const Measured &it) { return it.shedAboveBearable; };
    const auto load = [](double perSecond) { return Scenario{ .requestsPerSecond = perSecond, .length = 4s, .deadline = 100ms }; };
    return {
        { "straggler",
          { .stragglers = true },
          { { "_p50", "ms", [](const Measured &it) { return it.p50; } },
            { "_p99", "ms", [](const Measured &it) { return it.p99; } },
            { "_p999", "ms", [](const Measured &it) { return it.p999; } },
            { "_extra_load", "percent", [](const Measured &it) { return 100 * (it.attemptsPerRequest - 1); } } } },
        { "cold_start_shed", { .requestsPerSecond = 3000, .cold = Scenario::Cold::Announced }, { { "", "requests", shed } } },
        { "cold_start_shed_unannounced", { .requestsPerSecond = 3000, .cold = Scenario::Cold::Unannounced }, { { "", "requests", shed } } },
        // Four instances with 9 slots and 3.93 ms of work bear 9,160 requests/s.
        { "goodput_1x", load(8500), { { "", "requests/s", goodput } } },
        { "goodput_2x", load(17000), { { "", "requests/s", goodput } } },
        { "goodput_5x", load(42500), { { "", "requests/s", goodput } } },
    };
}

std::vector<Measured> runAll(const Scenario &scenario, const Model::Policies &policies)
{
    std::vector<Measured> runs;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
        runs.push_back(run(seed, scenario, policies));
    }
    return runs;
}

Spread spreadOver(const std::vector<Measured> &runs, Value value)
{
    std::vector<double> values(runs.size());
    std::transform(runs.begin(), runs.end(), values.begin(), value);
    return spreadOf(std::move(values));
}

void measure(const Topic &topic)
{
    const auto ours = runAll(topic.scenario, Model::chosenPolicies());
    const auto naive = runAll(topic.scenario, Model::naivePolicies());
    for (const auto &line : topic.lines) {
        const auto mine = spreadOver(ours, line.value);
        const auto theirs = spreadOver(naive, line.value);
        fmt::print("{}{} ours={:.1f} naive={:.1f} unit={} n={} spread={:.1f}..{:.1f}\n",
                   topic.name,
                   line.suffix,
                   mine.median,
                   theirs.median,
                   line.unit,
                   kRuns,
                   mine.least,
                   mine.most);
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
    for (const auto &it : topics()) {
        // A name with a suffix, such as straggler_p99, selects its topic.
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
