#pragma once

#include "model_call.h"

namespace Toucandeck::Bench
{

/// One service of four instances in four failure domains under Poisson load, in virtual time.
struct Scenario
{
    double requestsPerSecond = 2000;
    Duration length = std::chrono::seconds(20);
    Duration deadline = std::chrono::seconds(1);
    bool stragglers = false; ///< For 2 s of every 4 s one instance is five times slower.
    bool thrashing = false; ///< For 2 s of every 4 s service times grow with the square of the load above 5 requests.
    bool nested = true; ///< A third of the requests are calls of services, at depths 1 to 3; otherwise all are callers'.
    bool wrongReports = false; ///< Load reports say the opposite.
    enum class Cold {
        Never,
        Announced,
        Unannounced,
    } cold = Cold::Never; ///< One instance turns cold after a quarter of the time.
};

struct Measured
{
    double p50 = 0; ///< ms; unanswered requests count with their deadline.
    double p99 = 0;
    double p999 = 0;
    double attemptsPerRequest = 0;
    double goodput = 0; ///< Answers within the deadline per second.
    double shedAboveBearable = 0; ///< Requests that a backend server got although it bore no more.
};

Measured run(std::uint64_t seed, const Scenario &scenario, const Model::Policies &policies);

/// Median and range over the seeds 1 to n.
struct Spread
{
    double median = 0;
    double least = 0;
    double most = 0;
};

Spread spreadOf(std::vector<double> values);

/// Prints the comparisons behind the choices in docs/policies.md.
void printDecisions();

constexpr std::uint64_t kRuns = 5;

} // namespace Toucandeck::Bench
