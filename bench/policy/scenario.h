#pragma once

#include "model_call.h"

namespace Toucandeck::Bench
{

/// Load and faults of a run, in virtual time: one service with four instances in four failure domains and Poisson arrivals.
struct Scenario
{
    double requestsPerSecond = 2000;
    Duration length = std::chrono::seconds(20);
    Duration deadline = std::chrono::seconds(1);
    bool stragglers = false; ///< For 2 s of every 4 s one instance is five times slower.
    bool thrashing = false; ///< For 2 s of every 4 s service times grow with the square of the load above 5 requests.
    /// A third of the requests are service-to-service calls at depths 1 to 3; otherwise all are from callers, at depth 0.
    bool nested = true;
    bool wrongReports = false; ///< Load reports are inverted.
    enum class Cold {
        Never,
        Announced,
        Unannounced,
    } cold = Cold::Never; ///< One instance turns cold after a quarter of the length.
};

/// Results of one run.
struct Measurement
{
    double p50 = 0; ///< Latency in ms; unsuccessful requests count with their deadline.
    double p99 = 0; ///< Likewise.
    double p999 = 0; ///< Likewise.
    double attemptsPerRequest = 0;
    double goodput = 0; ///< Requests answered successfully within their deadline, per second.
    double shedAboveCapacity = 0; ///< Requests that backend servers shed because their capacity was exhausted.
};

/// Runs a scenario once. Runs with the same seed give the same result.
Measurement runScenario(std::uint64_t seed, const Scenario &scenario, const Model::Policies &policies);

/// Median and range of a figure over the runs with different seeds.
struct Spread
{
    double median = 0;
    double minimum = 0;
    double maximum = 0;
};

Spread spreadOf(std::vector<double> values);

/// Prints the comparisons that justify the choices in docs/policies.md.
void printDecisions();

constexpr std::uint64_t kRunsPerScenario = 5; ///< With the seeds 1 to 5.

} // namespace Toucandeck::Bench
