#include "gateway/gateway_chooser.h"

#include <algorithm>
#include <limits>

namespace Toucandeck
{

namespace
{

constexpr double kUnknownWorkMs = 80;
constexpr double kOtherDomainMs = 9; ///< Both ways between failure domains.
constexpr double kOtherDomainShare = 0.05; ///< Of the work; bytes between failure domains have a price, a wait in a queue a higher one.
constexpr double kBusySlowdown = 0.6; ///< By which work takes longer when all slots are taken.
constexpr double kFailureCost = 10; ///< A failed call costs the time of an attempt and mostly of another.
constexpr double kColdMs = 150; ///< Per pending call: a cold backend server runs few of them in a second.
constexpr double kSuspectMs = 5000;

} // namespace

std::size_t RandomChooser::choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const
{
    return static_cast<std::size_t>(random.below(candidates.size()));
}

double LeastTimeChooser::expectedMs(const GatewayCandidate &candidate)
{
    const double work
        = candidate.work == Duration::zero() ? kUnknownWorkMs : std::chrono::duration<double, std::milli>(candidate.work).count();
    const double slots = std::max(1U, candidate.slots);
    const double pending = candidate.pending;
    const double queued = std::max(0.0, pending + 1 - slots);
    const double busy = std::min(1.0, pending / slots);
    double ms = work * (1 + kBusySlowdown * busy * busy) + queued * work / slots;
    ms += candidate.sameDomain ? 0 : kOtherDomainMs + kOtherDomainShare * work;
    ms *= 1 + kFailureCost * candidate.failedShare;
    ms += candidate.cold ? kColdMs * (1 + pending) : 0;
    ms += candidate.suspect ? kSuspectMs : 0;
    return ms;
}

std::size_t LeastTimeChooser::choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const
{
    // Equal ones are chosen evenly: the comparison starts anywhere.
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
