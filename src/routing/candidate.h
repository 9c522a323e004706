#pragma once

#include "common/time.h"

#include <cstdint>
#include <optional>

namespace Toucandeck
{

/// Load that an instance last reported. May be outdated or wrong.
struct LoadReport
{
    unsigned inFlight = 0;
    unsigned queued = 0;
    Duration age{};
};

/// An instance that may serve a request, with what this router knows about it.
struct Candidate
{
    std::uint64_t instance = 0; ///< Session id or any other id that is unique among the candidates.
    unsigned weight = 1; ///< Zero: not chosen.
    bool sameDomain = false; ///< True if the instance is in the failure domain of this router.
    bool serving = true; ///< False while leaving or out: not chosen.
    bool onProbation = false; ///< Chosen only if no other instance is eligible.
    unsigned inFlight = 0; ///< Requests of this router that were sent and are not completely answered.
    Duration recentLatency{}; ///< Median of recent answers, including the network; zero if unknown.
    std::optional<LoadReport> report{};
};

} // namespace Toucandeck
