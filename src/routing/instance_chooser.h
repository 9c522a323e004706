#pragma once

#include "routing/candidate.h"

#include "common/random_source.h"

#include <span>
#include <vector>

namespace Toucandeck
{

/// Strategy that chooses among the instances of a service that is not partitioned by key.
class InstanceChooser
{
public:
    virtual ~InstanceChooser() = default;

    /// Returns the index of the chosen candidate, other than @p excluded; nothing if none is eligible. For a hedge or a retry,
    /// @p excluded is the index chosen for the first attempt.
    virtual std::optional<std::size_t> choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded = {}) = 0;
};

/// Indexes of the serving candidates that are not on probation; if there are none, of those on probation.
std::vector<std::size_t> eligibleCandidates(std::span<const Candidate> candidates, std::optional<std::size_t> excluded);

} // namespace Toucandeck
