#include "gateway/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

/// Queues last longer than the calls in the slots, so a report of the load stays useful for more than one service time.
constexpr double kServiceTimesPerTimeConstant = 2;
constexpr std::chrono::milliseconds kMinTimeConstant{ 50 };

} // namespace

double reportWeight(Duration age, Duration timeConstant)
{
    const std::chrono::duration<double> seconds = std::max(age, Duration::zero());
    return std::exp(-seconds / std::chrono::duration<double>(timeConstant));
}

double expectedCalls(const KnownLoad &load)
{
    const auto timeConstant = std::chrono::duration_cast<Duration>(load.serviceTime * kServiceTimesPerTimeConstant);
    const double weight = reportWeight(load.age, std::max<Duration>(timeConstant, kMinTimeConstant));
    const double calls = weight * load.reportedCalls + (1 - weight) * load.usualCalls;
    return std::max(calls, load.ownCalls);
}

} // namespace Toucandeck
