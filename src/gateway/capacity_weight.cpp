#include "gateway/capacity_weight.h"

#include <algorithm>
#include <limits>

namespace Toucandeck
{

namespace
{

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double kSameDomainFactor = 3; ///< Of a backend server without load; the preference decreases as its slots fill.
constexpr double kMinSpeed = 0.25; ///< Bounds of the relative speed, so that a wrong report neither starves nor floods a backend server.
constexpr double kMaxSpeed = 4;
constexpr Milliseconds kCongestedTransit{ 50 }; ///< Transit time that halves the weight; a link without a queue takes a tenth of it.
constexpr Milliseconds kRedirectionTime{ 10 }; ///< Round trip and processing of a refusal that leads to another gateway.
constexpr Milliseconds kMaxUsefulWait{ 60'000 }; ///< Without another candidate; no call waits that long.
constexpr double kLinkBytesPerMs = 500; ///< Rate at which the narrow link of a VM carries a body.

double queueingMs(const GatewayCandidate &it)
{
    const double slots = std::max(1U, it.slots);
    const double queued = std::max(0.0, it.pending + 1 - slots);
    return queued * LeastTimeChooser::serviceMs(it) / slots;
}

} // namespace

double capacityWeight(const GatewayCandidate &candidate)
{
    if (candidate.cold || candidate.suspect) {
        return 0;
    }
    double weight = std::max(1U, candidate.slots) * std::clamp(candidate.relativeSpeed, kMinSpeed, kMaxSpeed);
    if (candidate.sameDomain) {
        const double room = std::clamp(1 - candidate.pending / std::max(1U, candidate.slots), 0.0, 1.0);
        weight *= 1 + (kSameDomainFactor - 1) * room;
    }
    weight *= 1 - std::clamp(candidate.failedShare, 0.0, 1.0);
    const Milliseconds transit = candidate.transitTime.value_or(Duration::zero());
    return weight / (1 + transit / kCongestedTransit);
}

Duration longestUsefulWait(const std::vector<GatewayCandidate> &candidates, std::size_t choice, std::size_t bodyBytes)
{
    double nextMs = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (i != choice) {
            nextMs = std::min(nextMs, LeastTimeChooser::expectedMs(candidates[i]));
        }
    }
    const auto &chosen = candidates[choice];
    const double advantageMs = std::max(0.0, nextMs - LeastTimeChooser::expectedMs(chosen));
    const double detourMs = kRedirectionTime.count() + static_cast<double>(bodyBytes) / kLinkBytesPerMs;
    const Milliseconds wait(queueingMs(chosen) + advantageMs + detourMs);
    return std::chrono::duration_cast<Duration>(std::min(wait, kMaxUsefulWait));
}

} // namespace Toucandeck
