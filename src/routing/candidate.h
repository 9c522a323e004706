#pragma once

#include "common/time.h"

#include <cstdint>
#include <optional>

namespace Toucandeck
{

/// Load of an instance as it last reported it. May be old or wrong.
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
    bool sameDomain = false; ///< In the failure domain of this router.
    bool serving = true; ///< False while leaving or out: not chosen.
    bool onProbation = false; ///< Chosen only if no other instance can be.
    unsigned inFlight = 0; ///< Requests of this router from sending until the whole answer is there.
    Duration recentLatency{}; ///< Median of recent answers, network included; zero if unknown.
    std::optional<LoadReport> report{};
};

} // namespace Toucandeck
