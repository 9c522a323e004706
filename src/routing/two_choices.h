#pragma once

#include "routing/instance_chooser.h"

namespace Toucandeck
{

struct TwoChoicesOptions
{
    /// Added to the cost of an instance in another failure domain, because links between domains are expensive. Their delay is
    /// already part of the recent latency.
    Duration crossDomainPenalty = std::chrono::milliseconds(2);
    Duration defaultLatency = std::chrono::milliseconds(5); ///< Latency assumed for an instance without recent answers.
    Duration reportLifetime = std::chrono::milliseconds(500); ///< The weight of a load report decreases linearly to zero at this age.
    /// Weight of a new load report. Below 1 because reports are delayed, whereas the router's own in-flight requests are exact.
    double reportWeight = 0.5;
    /// Maximum that a report adds, as a multiple of the router's own in-flight requests + 1, so that a wrong report never outweighs
    /// these.
    double maxReportRatio = 1;
};

/// Power of two choices: draws two instances at random, the first from the router's own failure domain if there is one, and
/// chooses the one with the lower cost, which is based on the product of in-flight requests and recent latency.
class TwoChoices : public InstanceChooser
{
public:
    explicit TwoChoices(RandomSource &random, TwoChoicesOptions options = {});
    std::optional<std::size_t> choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded = {}) override;

    /// Expected cost of a request at the candidate, in seconds; lower is better.
    double cost(const Candidate &candidate) const;

private:
    RandomSource &m_random;
    TwoChoicesOptions m_options;
};

} // namespace Toucandeck
