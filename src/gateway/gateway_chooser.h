#pragma once

#include "common/random_source.h"
#include "common/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Toucandeck
{

/// A gateway whose backend server could run a call.
struct GatewayCandidate
{
    std::string ip;
    bool sameDomain = false;
    std::uint32_t slots = 1;
    std::uint32_t pending = 0; ///< Calls that run or wait there, as far as known.
    Duration work{}; ///< Mean time in a slot; zero if unknown.
    double failedShare = 0; ///< Of its recent calls.
    bool cold = false;
    bool suspect = false; ///< Its connection has just failed.
};

/// Chooses among gateways for calls that any backend server of a service can run.
class GatewayChooser
{
public:
    virtual ~GatewayChooser() = default;

    /// Index of the choice. @p candidates is not empty.
    virtual std::size_t choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const = 0;
};

/// Any of them, evenly.
class RandomChooser : public GatewayChooser
{
public:
    std::size_t choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const override;
};

/// The one with the shortest expected time to an answer, from its load, speed, distance and recent failures.
class LeastTimeChooser : public GatewayChooser
{
public:
    std::size_t choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const override;

    static double expectedMs(const GatewayCandidate &candidate);
};

} // namespace Toucandeck
