#pragma once

#include "layout.h"
#include "load_generator.h"
#include "local_cluster.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace Toucandeck::Bench
{

/// Options of all measurements.
struct MeasureOptions
{
    std::string binaryFolder;
    std::string workFolder;
    std::string layout; ///< Layout file of the deployment.
    std::uint32_t runs = 5;
};

/// Measurements; each prints its lines "NAME ours=VALUE naive=VALUE unit=UNIT n=RUNS".
Result<void> measureAddedLatency(const MeasureOptions &options);
Result<void> measureRequestsPerCore(const MeasureOptions &options);
Result<void> measureUnavailability(const MeasureOptions &options);
Result<void> measureDomainLeave(const MeasureOptions &options);
Result<void> measureControlCost(const MeasureOptions &options);

/// Value at quantile @p q in [0, 1]; zero without values.
inline double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

inline double toMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Runs the event loop for a time.
inline void runFor(EventLoop &loop, Duration time)
{
    loop.runUntil([] { return false; }, time);
}

/// Event loop, clock and a started deployment.
struct Deployment
{
    SystemClock clock;
    NullLogger logger;
    SeededRandom random{ 1 };
    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<Standin::LocalCluster> cluster;

    static Result<std::unique_ptr<Deployment>>
    start(const MeasureOptions &options, const Standin::Layout &layout, std::uint32_t controllers = 3);
    ~Deployment();
};

} // namespace Toucandeck::Bench
