#pragma once

#include "common/random_source.h"

#include <cstddef>
#include <vector>

namespace Toucandeck
{

/// Draws up to @p n different indexes of @p weights, each with a probability in proportion to its weight. Indexes whose weight is zero
/// are drawn only if no others are left.
std::vector<std::size_t> weightedSample(std::vector<double> weights, std::size_t n, RandomSource &random);

} // namespace Toucandeck
