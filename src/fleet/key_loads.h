#pragma once

#include "fleet/key_partition.h"

#include <optional>
#include <vector>

namespace Toucandeck
{

/// Demand for keys, and what each of several holders has of it. Decisions that give keys away in one go account for each other here,
/// so that the keys of many lost holders do not all go to the one that had least to do before.
class KeyLoads
{
public:
    /// @param demand in any order; @param capacities positive, one per holder.
    KeyLoads(std::vector<DemandPoint> demand, std::vector<double> capacities);

    /// Demand for a range in requests per second, with a trifle for each key, so that keys without demand are spread too.
    double weight(KeyRange range) const;

    void give(KeyRange range, std::size_t holder);
    void take(KeyRange range, std::size_t holder);

    std::size_t holders() const;
    double capacity(std::size_t holder) const;
    double load(std::size_t holder) const;
    double utilisation(std::size_t holder) const;
    /// Utilisation of each holder if the demand that was given were spread by capacity.
    double meanUtilisation() const;

    /// The holder with the lowest utilisation once it has another request per second.
    std::size_t leastLoaded() const;

    /// Gives a range to one holder, or to several if it is too much for one.
    std::vector<PlannedRange> spread(KeyRange range);

    /// The part of a range from its start (or, with @p atEnd, up to its end) that weighs @p weight at most; a single key if need be.
    KeyRange slice(KeyRange range, double weight, bool atEnd) const;

private:
    double pointsBelow(std::uint32_t key) const;

    std::vector<DemandPoint> m_demand; ///< By key; the rate is summed up from the first point on.
    std::vector<double> m_capacities;
    std::vector<double> m_loads;
};

} // namespace Toucandeck
