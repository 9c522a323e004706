#pragma once

#include "fleet/key_loads.h"

namespace Toucandeck
{

/// Planned move of keys from one holder to another.
struct KeyMove
{
    KeyRange range;
    std::size_t from = 0; ///< Index of the current holder.
    std::size_t to = 0; ///< Index of the next holder.

    bool operator==(const KeyMove &) const = default;
};

/// Strategy that decides which keys move because of load. Keys are not served while they move.
class KeyPlanner
{
public:
    virtual ~KeyPlanner() = default;

    /// @param demand sorted by key; @param present ranges of the holders, in key order; @param capacities one per holder.
    virtual std::vector<KeyMove>
    plan(const std::vector<DemandPoint> &demand, const std::vector<PlannedRange> &present, const std::vector<double> &capacities) const = 0;
};

/// Repartitions all keys into one range for each holder. Each boundary moves, so most holders release keys.
class RepartitionPlanner : public KeyPlanner
{
public:
    std::vector<KeyMove> plan(const std::vector<DemandPoint> &demand,
                              const std::vector<PlannedRange> &present,
                              const std::vector<double> &capacities) const override;
};

/// Moves only slices from the busiest holders to those with spare capacity. A holder without keys is assigned some.
class SlicePlanner : public KeyPlanner
{
public:
    std::vector<KeyMove> plan(const std::vector<DemandPoint> &demand,
                              const std::vector<PlannedRange> &present,
                              const std::vector<double> &capacities) const override;
};

} // namespace Toucandeck
