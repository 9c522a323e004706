#pragma once

#include "common/random_source.h"
#include "common/time.h"

#include <cstdint>
#include <optional>

namespace Toucandeck
{

/// State of a nested call that all gateways asked so far have refused.
struct RefusedCall
{
    std::uint32_t rounds = 1; ///< Rounds of attempts that ended with refusals only.
    Duration left{}; ///< Time until its deadline.
    Duration serviceTime{}; ///< Expected time at a backend server; zero if unknown.
};

/// Number of gateways that a call may be sent to in a round; the first round is 1.
std::uint32_t maxGatewaysTried(std::uint32_t round);

/// Pause after which a refused nested call is tried again; none if it ends instead. The request that sent the call occupies a slot and its
/// work is lost if the call ends, whereas the slots of a busy service change hands within a service time. The pause is a random part
/// of the time that the call can spare, so that calls refused together do not come back together.
std::optional<Duration> pauseBeforeRetry(const RefusedCall &call, RandomSource &random);

} // namespace Toucandeck
