#pragma once

#include "fleet/key_loads.h"

namespace Toucandeck
{

/// Keys that are to go from one holder to another.
struct KeyMove
{
    KeyRange range;
    std::size_t from = 0; ///< Index of the holder.
    std::size_t to = 0;

    bool operator==(const KeyMove &) const = default;
};

/// Decides which keys move because of the load. Keys that move are not served for a while.
class KeyPlanner
{
public:
    virtual ~KeyPlanner() = default;

    /// @param demand sorted by key; @param present ranges of the holders, in key order; @param capacities one per holder.
    virtual std::vector<KeyMove>
    plan(const std::vector<DemandPoint> &demand, const std::vector<PlannedRange> &present, const std::vector<double> &capacities) const = 0;
};

/// Parts all keys anew into one range for each holder. Each boundary moves, so most holders give up keys.
class RepartitionPlanner : public KeyPlanner
{
public:
    std::vector<KeyMove> plan(const std::vector<DemandPoint> &demand,
                              const std::vector<PlannedRange> &present,
                              const std::vector<double> &capacities) const override;
};

/// Moves slices from the busiest holders to those with room, and nothing else. A holder that has no keys is given some.
class SlicePlanner : public KeyPlanner
{
public:
    std::vector<KeyMove> plan(const std::vector<DemandPoint> &demand,
                              const std::vector<PlannedRange> &present,
                              const std::vector<double> &capacities) const override;
};

} // namespace Toucandeck
