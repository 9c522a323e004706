#pragma once

#include "common/random_source.h"
#include "common/time.h"

#include <cstdint>
#include <optional>
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
    double pending = 0; ///< Estimated number of running and waiting calls.
    double relativeSpeed = 1; ///< Speed in relation to the other backend servers of the service.
    std::optional<Duration> transitTime; ///< Recent time on the links for a call and its reply; none if not measured.
    Duration serviceTime{}; ///< Mean service time; zero if unknown.
    double failedShare = 0; ///< Share of its recent calls that failed.
    bool cold = false;
    bool suspect = false; ///< Its connection failed recently.
    Duration usualServiceTime{}; ///< Mean of its service; zero if unknown.
    /// 1: faster backend servers are preferred. 0: only the load is compared, since work is spread by capacity already.
    double speedWeight = 1;
};

/// Chooses among gateways for calls that any backend server of a service can run.
class GatewayChooser
{
public:
    virtual ~GatewayChooser() = default;

    /// Index of the choice. @p candidates is not empty.
    virtual std::size_t choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const = 0;
};

/// Chooses uniformly at random.
class RandomChooser : public GatewayChooser
{
public:
    std::size_t choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const override;
};

/// Chooses the gateway with the shortest expected time to an answer, from its load, speed, distance and recent failures.
class LeastTimeChooser : public GatewayChooser
{
public:
    std::size_t choose(const std::vector<GatewayCandidate> &candidates, RandomSource &random) const override;

    /// Expected time to an answer in milliseconds, including penalties for failures.
    static double expectedMs(const GatewayCandidate &candidate);
    /// Service time in milliseconds; an initial estimate if it is unknown.
    static double serviceMs(const GatewayCandidate &candidate);
};

} // namespace Toucandeck
