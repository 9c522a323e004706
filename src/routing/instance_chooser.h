#pragma once

#include "routing/candidate.h"

#include "common/random_source.h"

#include <span>
#include <vector>

namespace Toucandeck
{

/// Strategy for the choice among the instances of a service that is not divided by key.
class InstanceChooser
{
public:
    virtual ~InstanceChooser() = default;

    /// Index of the chosen candidate, other than @p excluded; nothing if none serves. Used again with the index of the first
    /// attempt excluded for a hedge or a retry.
    virtual std::optional<std::size_t> choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded = {}) = 0;
};

/// Indexes of the candidates that serve: those not on probation, or all that serve if there are no others.
std::vector<std::size_t> eligibleCandidates(std::span<const Candidate> candidates, std::optional<std::size_t> excluded);

} // namespace Toucandeck
