#pragma once

#include "fleet/key_partition.h"

#include <optional>
#include <vector>

namespace Toucandeck
{

/// Demand for keys, and the load of each of several holders. Successive assignments in one round of decisions see each other's load
/// here, so that the keys of many lost holders do not all go to the holder that was least loaded before.
class KeyLoads
{
public:
    /// @param demand in any order; @param capacities positive, one per holder.
    KeyLoads(std::vector<DemandPoint> demand, std::vector<double> capacities);

    /// Demand for a range in requests per second, plus a small constant for each key so that keys without demand are spread too.
    double weight(KeyRange range) const;

    /// Adds the weight of the range to the load of the holder.
    void assign(KeyRange range, std::size_t holder);
    /// Subtracts the weight of the range from the load of the holder.
    void unassign(KeyRange range, std::size_t holder);

    std::size_t holderCount() const;
    double capacity(std::size_t holder) const;
    double load(std::size_t holder) const;
    double utilisation(std::size_t holder) const;
    /// Utilisation of each holder if the assigned load were spread in proportion to capacity.
    double meanUtilisation() const;

    /// Holder whose utilisation would be lowest after adding one request per second to it.
    std::size_t leastLoaded() const;

    /// Assigns a range to the least loaded holder, or divides it among several if it is too much for one.
    std::vector<PlannedRange> distribute(KeyRange range);

    /// Largest part at the start of a range (at its end with @p atEnd) that weighs at most @p weight, but at least one key.
    KeyRange slice(KeyRange range, double weight, bool atEnd) const;

private:
    /// Demand for all keys below @p key.
    double demandBelow(std::uint32_t key) const;

    std::vector<DemandPoint> m_demand; ///< Sorted by key; the rates are cumulative.
    std::vector<double> m_capacities;
    std::vector<double> m_loads;
};

} // namespace Toucandeck
