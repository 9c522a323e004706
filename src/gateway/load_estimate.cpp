#include "gateway/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kMinTimeConstant{ 50 };

} // namespace

double reportWeight(Duration age, Duration timeConstant)
{
    const std::chrono::duration<double> seconds = std::max(age, Duration::zero());
    return std::exp(-seconds / std::chrono::duration<double>(timeConstant));
}

double expectedCalls(const KnownLoad &load)
{
    const double weight = reportWeight(load.age, std::max<Duration>(load.serviceTime, kMinTimeConstant));
    const double calls = weight * load.reportedCalls + (1 - weight) * load.usualCalls;
    return std::max(calls, load.ownCalls);
}

} // namespace Toucandeck
