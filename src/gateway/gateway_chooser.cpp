#include "gateway/gateway_chooser.h"

#include <algorithm>
#include <limits>

namespace Toucandeck
{

namespace
{

constexpr double kDefaultServiceTimeMs = 80;
constexpr double kOtherDomainMs = 9; ///< Round-trip time between failure domains.
/// Surcharge as a share of the service time; traffic between failure domains has a price, queueing delay a higher one.
constexpr double kOtherDomainShare = 0.05;
constexpr double kBusySlowdown = 0.6; ///< Relative increase of the service time when all slots are occupied.
constexpr double kFailureCost = 10; ///< Weight of the failed share; a failed call costs the time of an attempt and mostly of another.
constexpr double kColdMs = 150; ///< Per call, the pending ones included; a cold backend server runs only a few per second.
constexpr double kSuspectMs = 5000;

/// Service time for the comparison, between the mean of the service and the backend server's own.
double comparedServiceMs(const GatewayCandidate &candidate)
{
    const double own = LeastTimeChooser::serviceMs(candidate);
    if (candidate.usualServiceTime == Duration::zero()) {
        return own;
    }
    const double usual = std::chrono::duration<double, std::milli>(candidate.usualServiceTime).count();
    return usual + (own - usual) * candidate.speedWeight;
}

} // namespace

std::size_t RandomChooser::choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const
{
    return static_cast<std::size_t>(random.below(candidates.size()));
}

double LeastTimeChooser::serviceMs(const GatewayCandidate &candidate)
{
    const bool known = candidate.serviceTime != Duration::zero();
    return known ? std::chrono::duration<double, std::milli>(candidate.serviceTime).count() : kDefaultServiceTimeMs;
}

double LeastTimeChooser::expectedMs(const GatewayCandidate &candidate)
{
    const double serviceTime = serviceMs(candidate);
    const double slots = std::max(1U, candidate.slots);
    const double pending = candidate.pending;
    const double queued = std::max(0.0, pending + 1 - slots);
    const double busy = std::min(1.0, pending / slots);
    double ms = comparedServiceMs(candidate) * (1 + kBusySlowdown * busy * busy) + queued * serviceTime / slots;
    if (candidate.transitTime) {
        // The mean of the measured times decreases without calls, but not below the usual time.
        const double usualMs = candidate.sameDomain ? 0 : kOtherDomainMs;
        ms += std::max(std::chrono::duration<double, std::milli>(*candidate.transitTime).count(), usualMs);
        ms += candidate.sameDomain ? 0 : kOtherDomainShare * serviceTime;
    } else {
        ms += candidate.sameDomain ? 0 : kOtherDomainMs + kOtherDomainShare * serviceTime;
    }
    ms *= 1 + kFailureCost * candidate.failedShare;
    ms += candidate.cold ? kColdMs * (1 + pending) : 0;
    ms += candidate.suspect ? kSuspectMs : 0;
    return ms;
}

std::size_t LeastTimeChooser::choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const
{
    // The comparison starts at a random index, so that equal candidates are chosen evenly.
    const auto offset = static_cast<std::size_t>(random.below(candidates.size()));
    std::size_t best = offset;
    double least = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto index = (offset + i) % candidates.size();
        const double ms = expectedMs(candidates[index]);
        if (ms < least) {
            least = ms;
            best = index;
        }
    }
    return best;
}

} // namespace Toucandeck
