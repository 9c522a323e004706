#include "fleet/key_partition.h"

#include "common/assert.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Toucandeck
{

namespace
{

/// Recursively partitions key ranges among the holders [first, last).
class Partitioner
{
public:
    Partitioner(const std::vector<DemandPoint> &demand, const std::vector<double> &capacities)
        : m_demand(demand)
        , m_capacities(capacities)
    {
    }

    std::vector<PlannedRange> run()
    {
        partition({ 0, kKeyCount - 1 }, 0, m_capacities.size());
        return std::move(m_plan);
    }

private:
    double rateOf(KeyRange range) const
    {
        double sum = 0;
        for (const auto &it : m_demand) {
            sum += range.contains(it.key) ? it.rate : 0;
        }
        return sum;
    }

    double capacityOf(std::size_t first, std::size_t last) const
    {
        return std::accumulate(
            m_capacities.begin() + static_cast<std::ptrdiff_t>(first), m_capacities.begin() + static_cast<std::ptrdiff_t>(last), 0.0);
    }

    void partition(KeyRange range, std::size_t first, std::size_t last)
    {
        if (last - first == 1) {
            m_plan.push_back({ range, first });
            return;
        }
        const auto hot = hottestKey(range);
        const double share = rateOf(range) / static_cast<double>(last - first);
        if (hot.rate > share && share > 0 && partitionAroundHotKey(range, hot.key, first, last)) {
            return;
        }
        partitionByCapacity(range, first, last);
    }

    DemandPoint hottestKey(KeyRange range) const
    {
        DemandPoint hottest;
        DemandPoint current;
        for (const auto &it : m_demand) {
            if (!range.contains(it.key)) {
                continue;
            }
            current = current.key == it.key ? DemandPoint{ it.key, current.rate + it.rate } : it;
            hottest = current.rate > hottest.rate ? current : hottest;
        }
        return hottest;
    }

    /// Assigns the hot key to a holder of its own and partitions the ranges on both sides among the remaining holders. Returns false
    /// without an assignment if the sides have no demand or too few keys for the remaining holders.
    bool partitionAroundHotKey(KeyRange range, std::uint32_t hot, std::size_t first, std::size_t last)
    {
        const bool hasLeft = hot > range.from;
        const bool hasRight = hot < range.to;
        const auto rest = last - first - 1;
        const double left = hasLeft ? rateOf({ range.from, hot - 1 }) : 0;
        const double right = hasRight ? rateOf({ hot + 1, range.to }) : 0;
        if (left + right <= 0) {
            return false;
        }
        auto nLeft = static_cast<std::size_t>(std::lround(static_cast<double>(rest) * left / (left + right)));
        nLeft = hasLeft ? std::min<std::size_t>({ nLeft, rest, hot - range.from }) : 0;
        auto nRight = hasRight ? std::min<std::size_t>(rest - nLeft, range.to - hot) : 0;
        if (nLeft + nRight != rest) {
            return false;
        }
        KeyRange own{ hot, hot };
        if (nLeft == 0) {
            own.from = range.from;
        } else {
            partition({ range.from, hot - 1 }, first, first + nLeft);
        }
        if (nRight == 0) {
            own.to = range.to;
        }
        m_plan.push_back({ own, first + nLeft });
        if (nRight != 0) {
            partition({ hot + 1, range.to }, first + nLeft + 1, last);
        }
        return true;
    }

    /// Divides the demand for a range in proportion to the capacities.
    void partitionByCapacity(KeyRange range, std::size_t first, std::size_t last)
    {
        const double total = rateOf(range);
        const double capacity = capacityOf(first, last);
        double cumulativeDemand = 0;
        double cumulativeCapacity = 0;
        auto from = range.from;
        auto it = std::find_if(m_demand.begin(), m_demand.end(), [range](const auto &p) { return p.key >= range.from; });
        for (auto holder = first; holder + 1 < last; ++holder) {
            cumulativeCapacity += m_capacities[holder];
            const double target = total * cumulativeCapacity / capacity;
            auto end = from;
            while (it != m_demand.end() && it->key <= range.to && cumulativeDemand + it->rate / 2 <= target) {
                cumulativeDemand += it->rate;
                end = std::max(end, it->key);
                ++it;
            }
            const auto remainingHolders = static_cast<std::uint32_t>(last - holder - 1);
            end = std::min(end, range.to - remainingHolders); // At least one key for each holder that follows.
            m_plan.push_back({ { from, end }, holder });
            from = end + 1;
        }
        m_plan.push_back({ { from, range.to }, last - 1 });
    }

    const std::vector<DemandPoint> &m_demand;
    const std::vector<double> &m_capacities;
    std::vector<PlannedRange> m_plan;
};

} // namespace

std::vector<PlannedRange> partitionEvenly(std::size_t holders)
{
    TOUCANDECK_ASSERT(holders > 0, "a partition needs at least one holder");
    std::vector<PlannedRange> plan;
    for (std::size_t i = 0; i < holders; ++i) {
        const auto from = static_cast<std::uint32_t>(kKeyCount * i / holders);
        const auto to = static_cast<std::uint32_t>(kKeyCount * (i + 1) / holders - 1);
        plan.push_back({ { from, to }, i });
    }
    return plan;
}

std::vector<PlannedRange> partitionByDemand(const std::vector<DemandPoint> &demand, const std::vector<double> &capacities)
{
    TOUCANDECK_ASSERT(!capacities.empty(), "a partition needs at least one holder");
    if (demand.empty()) {
        return partitionEvenly(capacities.size());
    }
    return Partitioner(demand, capacities).run();
}

double peakUtilisation(const std::vector<PlannedRange> &plan, const std::vector<DemandPoint> &demand, const std::vector<double> &capacities)
{
    std::vector<double> rates(capacities.size(), 0);
    for (const auto &point : demand) {
        for (const auto &it : plan) {
            rates[it.holder] += it.range.contains(point.key) ? point.rate : 0;
        }
    }
    double peak = 0;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        peak = std::max(peak, rates[i] / capacities[i]);
    }
    return peak;
}

} // namespace Toucandeck
