#pragma once

#include "routing/instance_chooser.h"

namespace Toucandeck
{

struct TwoChoicesOptions
{
    /// Added to the cost of an instance in another failure domain because links between domains are costly. Their delay is
    /// part of the recent latency already.
    Duration domainPenalty = std::chrono::milliseconds(2);
    Duration unknownLatency = std::chrono::milliseconds(5); ///< Assumed for an instance without answers yet.
    Duration reportLifetime = std::chrono::milliseconds(500); ///< A load report counts less with age and not at all after this.
    /// Share of a report that counts. Below 1 because reports lag, and own in-flight requests are exact.
    double reportShare = 0.5;
    /// Most that a report adds, as a multiple of own in-flight requests + 1, so that a wrong report never outweighs these.
    double reportBound = 1;
};

/// Draws two instances at random, the first in the own failure domain if there is one, and takes the one with the lower
/// product of in-flight requests and recent latency.
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
