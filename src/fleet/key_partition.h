#pragma once

#include "fleet/key_rows.h"

#include <vector>

namespace Toucandeck
{

/// Demand for one key, or for the keys up to it from the point before.
struct DemandPoint
{
    std::uint32_t key = 0;
    double rate = 0;
};

/// Keys that one of several holders is to have.
struct PlannedRange
{
    KeyRange range;
    std::size_t holder = 0; ///< Index in the list given.

    bool operator==(const PlannedRange &) const = default;
};

/// Parts all keys evenly by number.
std::vector<PlannedRange> partitionEvenly(std::size_t holders);

/// Parts all keys into one range for each holder, in the order of the holders, so that the demand fits their capacities.
/// A key whose demand exceeds an even share is not put together with others where that can be avoided.
/// @param demand sorted by key; @param capacities positive, one per holder.
std::vector<PlannedRange> partitionByDemand(const std::vector<DemandPoint> &demand, const std::vector<double> &capacities);

/// Largest ratio of demand to capacity over all holders.
double
peakUtilisation(const std::vector<PlannedRange> &plan, const std::vector<DemandPoint> &demand, const std::vector<double> &capacities);

} // namespace Toucandeck
