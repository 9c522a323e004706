#include "gateway/refused_call_retry.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

/// Refusals by a gateway reach no backend server, so more gateways may be tried than backend servers reached.
constexpr std::uint32_t kGatewaysInFirstRound = 4;
/// A retry waits for slots to become free, which fewer gateways tell as well; it must not multiply the calls between gateways.
constexpr std::uint32_t kGatewaysInLaterRounds = 2;
constexpr std::uint32_t kMaxRounds = 3;
constexpr double kPauseShare = 0.25; ///< Mean pause as a share of the time that the call can spare; leaves time for the last round.
constexpr milliseconds kMinPause{ 15 }; ///< Shorter pauses cost messages and find the same calls in the slots.
constexpr milliseconds kTransitTime{ 10 }; ///< On the links, for the call and its reply.
constexpr milliseconds kMinServiceTime{ 10 }; ///< Assumed while the service time is unknown.

} // namespace

std::uint32_t maxGatewaysTried(std::uint32_t round)
{
    return round <= 1 ? kGatewaysInFirstRound : kGatewaysInLaterRounds;
}

std::optional<Duration> pauseBeforeRetry(const RefusedCall &call, RandomSource &random)
{
    const auto spare = call.left - kTransitTime - std::max<Duration>(call.serviceTime, kMinServiceTime);
    if (call.rounds >= kMaxRounds || spare < 2 * kMinPause) {
        return std::nullopt;
    }
    const double jitter = 0.5 + random.unit();
    const auto mean = std::max<Duration>(kMinPause, std::chrono::duration_cast<Duration>(spare * kPauseShare));
    return std::chrono::duration_cast<Duration>(mean * jitter);
}

} // namespace Toucandeck
