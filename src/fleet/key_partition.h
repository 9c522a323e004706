#pragma once

#include "fleet/key_rows.h"

#include <vector>

namespace Toucandeck
{

/// Demand for one key, or for all keys after the preceding point up to this key.
struct DemandPoint
{
    std::uint32_t key = 0;
    double rate = 0; ///< Requests per second.
};

/// Key range assigned to one of several holders.
struct PlannedRange
{
    KeyRange range;
    std::size_t holder = 0; ///< Index of the holder.

    bool operator==(const PlannedRange &) const = default;
};

/// Partitions all keys into ranges of equal size, one for each holder.
std::vector<PlannedRange> partitionEvenly(std::size_t holders);

/// Partitions all keys into one range for each holder, in the order of the holders, with demand in proportion to their capacities.
/// Where possible, a key whose demand exceeds an even share gets a holder of its own.
/// @param demand sorted by key; @param capacities positive, one per holder.
std::vector<PlannedRange> partitionByDemand(const std::vector<DemandPoint> &demand, const std::vector<double> &capacities);

/// Largest ratio of demand to capacity over all holders.
double
peakUtilisation(const std::vector<PlannedRange> &plan, const std::vector<DemandPoint> &demand, const std::vector<double> &capacities);

} // namespace Toucandeck
