#pragma once

#include "common/time.h"

#include <optional>

namespace Toucandeck
{

/// Fraction by which the clock of a backend server may run slow, with a margin.
inline constexpr double kBackendClockDrift = 0.03;
inline constexpr std::chrono::milliseconds kHoldMargin{ 20 }; ///< Subtracted from the hold time.
/// No keys are granted for less time than this: the grant would expire before the next one.
inline constexpr std::chrono::milliseconds kMinHoldTime{ 300 };

/// Time for which keys may be granted under a lease that ends after @p leaseLeft; none if it is too short to grant any.
inline std::optional<Duration> holdTimeFor(Duration leaseLeft)
{
    const auto hold = std::chrono::duration_cast<Duration>(leaseLeft / (1 + kBackendClockDrift)) - kHoldMargin;
    return hold < kMinHoldTime ? std::nullopt : std::optional(hold);
}

/// Time by which a grant has ended that a backend server has counted from @p start, by its slowest permitted clock.
inline TimePoint latestHoldEnd(TimePoint start, Duration holdTime)
{
    return start + std::chrono::duration_cast<Duration>(holdTime * (1 + kBackendClockDrift));
}

} // namespace Toucandeck
