#include "scenario.h"

#include <algorithm>
#include <fmt/format.h>

namespace Toucandeck::Bench
{

using namespace Model;
using namespace std::chrono_literals;

namespace
{

void compare(std::string_view name, const Scenario &scenario, const Policies &policies)
{
    std::vector<Measurement> runs;
    for (std::uint64_t seed = 1; seed <= kRunsPerScenario; ++seed) {
        runs.push_back(runScenario(seed, scenario, policies));
    }
    const auto show = [&runs](double Measurement::*member) {
        std::vector<double> values(runs.size());
        std::transform(runs.begin(), runs.end(), values.begin(), [member](const Measurement &it) { return it.*member; });
        const auto spread = spreadOf(std::move(values));
        return fmt::format("{:.1f} ({:.1f}..{:.1f})", spread.median, spread.minimum, spread.maximum);
    };
    std::vector<double> extra(runs.size());
    std::transform(runs.begin(), runs.end(), extra.begin(), [](const Measurement &it) { return 100 * (it.attemptsPerRequest - 1); });
    fmt::print("{} | p50 {} | p99 {} | p99.9 {} | extra {:.1f}% | goodput {} | shed {}\n",
               name,
               show(&Measurement::p50),
               show(&Measurement::p99),
               show(&Measurement::p999),
               spreadOf(extra).median,
               show(&Measurement::goodput),
               show(&Measurement::shedAboveCapacity));
}

template<class Limit>
Policies withLimit()
{
    auto policies = daemonPolicies();
    policies.limit = [] { return std::make_unique<Limit>(); };
    return policies;
}

void compareLimits()
{
    const std::pair<const char *, Policies> limits[] = {
        { "gradient", withLimit<GradientLimit>() },
        { "aimd", withLimit<AimdLimit>() },
        { "fixed", withLimit<FixedLimit>() },
    };
    for (const auto &[name, policies] : limits) {
        compare(fmt::format("limit {}, 1x", name), { .requestsPerSecond = 8500, .length = 4s, .deadline = 100ms }, policies);
        compare(fmt::format("limit {}, 2x", name), { .requestsPerSecond = 17000, .length = 4s, .deadline = 100ms }, policies);
        compare(fmt::format("limit {}, thrashing", name),
                { .requestsPerSecond = 8500, .length = 9s, .deadline = 100ms, .thrashing = true },
                policies);
        compare(fmt::format("limit {}, stragglers", name), { .stragglers = true }, policies);
    }
}

void compareChoosers()
{
    auto roundRobin = daemonPolicies();
    roundRobin.chooser = [](RandomSource & /*random*/) { return std::make_unique<RoundRobin>(); };
    auto random = daemonPolicies();
    random.chooser = [](RandomSource &source) { return std::make_unique<RandomChoice>(source); };
    const std::pair<const char *, Policies> choosers[]
        = { { "two choices", daemonPolicies() }, { "round-robin", roundRobin }, { "random", random } };
    for (const auto &[name, policies] : choosers) {
        compare(fmt::format("chooser {}, stragglers", name), { .stragglers = true }, policies);
        compare(fmt::format("chooser {}, stragglers, high load", name),
                { .requestsPerSecond = 5000, .length = 12s, .stragglers = true },
                policies);
        compare(fmt::format("chooser {}, opposite reports", name),
                { .requestsPerSecond = 5000, .length = 12s, .stragglers = true, .wrongReports = true },
                policies);
    }
}

void compareHedges()
{
    const auto withQuantile = [](double quantile) {
        auto policies = daemonPolicies();
        policies.hedge
            = [quantile](const Clock &clock) { return std::make_unique<QuantileHedge>(clock, HedgeOptions{ .quantile = quantile }); };
        return policies;
    };
    auto none = daemonPolicies();
    none.hedge = [](const Clock & /*clock*/) { return std::make_unique<NoHedge>(); };
    compare("hedge p95, stragglers", { .stragglers = true }, withQuantile(0.95));
    compare("hedge p99, stragglers", { .stragglers = true }, withQuantile(0.99));
    compare("hedge none, stragglers", { .stragglers = true }, none);
}

void compareProbation()
{
    auto off = daemonPolicies();
    off.outlier = [](const Clock & /*clock*/, Logger & /*logger*/) { return std::make_unique<NoOutlierDetection>(); };
    for (const auto load : { 2000.0, 5000.0 }) {
        compare(fmt::format("probation on, stragglers, {} requests/s", load),
                { .requestsPerSecond = load, .length = 12s, .stragglers = true },
                daemonPolicies());
        compare(fmt::format("probation off, stragglers, {} requests/s", load),
                { .requestsPerSecond = load, .length = 12s, .stragglers = true },
                off);
    }
    for (const auto interval : { 100ms, 500ms, 1000ms }) {
        auto policies = daemonPolicies();
        policies.outlier = [interval](const Clock &clock, Logger &logger) {
            return std::make_unique<OutlierDetector>(clock, logger, OutlierOptions{ .probeInterval = interval });
        };
        compare(fmt::format("probe every {} ms, stragglers", interval.count()), { .stragglers = true }, policies);
    }
}

void compareSlotRelease()
{
    auto body = daemonPolicies();
    body.bodyTime = 2ms;
    auto headers = body;
    headers.releaseAtHeaders = true;
    compare("slot until whole body", { .requestsPerSecond = 5500, .length = 4s, .deadline = 100ms }, body);
    compare("slot until headers", { .requestsPerSecond = 5500, .length = 4s, .deadline = 100ms }, headers);
}

void compareDepthReserve()
{
    auto none = daemonPolicies();
    none.admission.reserveSlotsByDepth = false;
    const Scenario callersOnly{ .requestsPerSecond = 17000, .length = 4s, .deadline = 100ms, .nested = false };
    compare("depth reserve, callers only, 2x", callersOnly, daemonPolicies());
    compare("no depth reserve, callers only, 2x", callersOnly, none);
}

} // namespace

void printDecisions()
{
    compareLimits();
    compareChoosers();
    compareHedges();
    compareProbation();
    compareSlotRelease();
    compareDepthReserve();
}

} // namespace Toucandeck::Bench
