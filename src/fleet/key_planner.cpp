#include "fleet/key_planner.h"

#include "fleet/key_rows.h"

#include <algorithm>
#include <set>

namespace Toucandeck
{

namespace
{

constexpr double kMinDonorUtilisation = 0.75; ///< Utilisation below which no keys move because of load.
/// Multiple of the mean utilisation from which a holder releases keys; smaller deviations are random variation.
constexpr double kDonorRatioToMean = 1.25;
constexpr double kTargetRatioToMean = 1.1; ///< Multiple of the mean utilisation to which donors are lowered and receivers raised.
constexpr double kMinTargetUtilisation = 0.6; ///< Lower bound of the target, whatever the mean utilisation.
constexpr double kMinMoveShare = 0.06; ///< Fraction of the donor's capacity; smaller moves do not justify the interruption.
constexpr double kMaxWholeRangeRatio = 1.15; ///< Multiple of the requested weight up to which a range moves undivided.
constexpr double kMaxSliceRatio = 2; ///< Multiple of the requested weight above which a slice does not move, such as a single hot key.
constexpr std::size_t kMaxMoves = 64; ///< Limit for one plan.
constexpr std::size_t kMaxRangesPerHolder = 40; ///< The answer to a heartbeat has room for about twice as many.

/// Builds a plan from the loads of the holders and the ranges that can still move.
class SlicePlanBuilder
{
public:
    SlicePlanBuilder(const std::vector<DemandPoint> &demand,
                     const std::vector<PlannedRange> &present,
                     const std::vector<double> &capacities)
        : m_loads(demand, capacities)
        , m_ranges(capacities.size())
        , m_receivedCounts(capacities.size(), 0)
    {
        for (const auto &it : present) {
            m_ranges[it.holder].push_back(it.range);
            m_loads.assign(it.range, it.holder);
        }
    }

    std::vector<KeyMove> run()
    {
        const double mean = m_loads.meanUtilisation();
        const double target = std::max(mean * kTargetRatioToMean, kMinTargetUtilisation);
        assignToNewHolders(mean);
        while (m_moves.size() < kMaxMoves) {
            const auto from = busiestDonor();
            if (!from || m_loads.utilisation(*from) < std::max(kMinDonorUtilisation, mean * kDonorRatioToMean)) {
                break;
            }
            const auto to = bestReceiver(target, *from);
            if (!to || !moveSlice(*from, *to, transferWeight(*from, *to, target))) {
                m_exhaustedDonors.insert(*from);
            }
        }
        return std::move(m_moves);
    }

private:
    /// Load above the target utilisation, in requests per second; negative if there is spare capacity.
    double excess(std::size_t holder, double target) const
    {
        return m_loads.load(holder) - target * m_loads.capacity(holder);
    }

    /// Load to move so that neither the donor falls below the target nor the receiver exceeds it.
    double transferWeight(std::size_t from, std::size_t to, double target) const
    {
        return std::min(excess(from, target), -excess(to, target));
    }

    void assignToNewHolders(double mean)
    {
        for (std::size_t to = 0; to < m_ranges.size(); ++to) {
            if (!m_ranges[to].empty()) {
                continue;
            }
            if (const auto from = busiestDonor()) {
                const double share = mean * m_loads.capacity(to);
                moveSlice(*from, to, std::min(share, m_loads.load(*from) / 2), 0);
            }
        }
    }

    /// Holder with the highest utilisation among those that can still release keys.
    std::optional<std::size_t> busiestDonor() const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < m_ranges.size(); ++i) {
            const bool better = !best || m_loads.utilisation(i) > m_loads.utilisation(*best);
            if (!m_ranges[i].empty() && m_exhaustedDonors.count(i) == 0 && better) {
                best = i;
            }
        }
        return best;
    }

    /// Holder with the most spare capacity below the target utilisation.
    std::optional<std::size_t> bestReceiver(double target, std::size_t donor) const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < m_ranges.size(); ++i) {
            const bool canReceive = i != donor && m_ranges[i].size() + m_receivedCounts[i] < kMaxRangesPerHolder && excess(i, target) < 0;
            if (canReceive && (!best || excess(i, target) < excess(*best, target))) {
                best = i;
            }
        }
        return best;
    }

    bool moveSlice(std::size_t from, std::size_t to, double weight)
    {
        return moveSlice(from, to, weight, kMinMoveShare * m_loads.capacity(from));
    }

    /// Plans a move of about @p weight. Returns false if no slice fits or @p weight is below @p minWeight.
    bool moveSlice(std::size_t from, std::size_t to, double weight, double minWeight)
    {
        if (weight < minWeight) {
            return false;
        }
        auto &ranges = m_ranges[from];
        const auto heaviest = std::max_element(
            ranges.begin(), ranges.end(), [this](const auto &a, const auto &b) { return m_loads.weight(a) < m_loads.weight(b); });
        const auto whole = *heaviest;
        const bool last = ranges.size() == 1;
        const auto piece = !last && m_loads.weight(whole) <= weight * kMaxWholeRangeRatio ? whole : smallerEndSlice(whole, weight);
        if ((last && piece == whole) || m_loads.weight(piece) > weight * kMaxSliceRatio) {
            return false;
        }
        ranges.erase(heaviest);
        if (piece.from > whole.from) {
            ranges.push_back({ whole.from, piece.from - 1 });
        }
        if (piece.to < whole.to) {
            ranges.push_back({ piece.to + 1, whole.to });
        }
        ++m_receivedCounts[to];
        m_loads.unassign(piece, from);
        m_loads.assign(piece, to);
        m_moves.push_back({ piece, from, to });
        return true;
    }

    /// Slice with fewer keys of those at both ends of the range, preferring one that is not too heavy. The fewer keys move, the fewer
    /// callers are affected.
    KeyRange smallerEndSlice(KeyRange range, double weight) const
    {
        const auto first = m_loads.slice(range, weight, false);
        const auto last = m_loads.slice(range, weight, true);
        const bool isFirstTooHeavy = m_loads.weight(first) > weight * kMaxSliceRatio;
        const bool isLastTooHeavy = m_loads.weight(last) > weight * kMaxSliceRatio;
        if (isFirstTooHeavy != isLastTooHeavy) {
            return isFirstTooHeavy ? last : first;
        }
        return first.size() < last.size() ? first : last;
    }

    KeyLoads m_loads;
    std::vector<std::vector<KeyRange>> m_ranges; ///< By holder: ranges that it can still release.
    std::vector<std::size_t> m_receivedCounts; ///< By holder: number of ranges it receives, which do not move again in this plan.
    std::set<std::size_t> m_exhaustedDonors; ///< Holders without a further slice that can move.
    std::vector<KeyMove> m_moves;
};

} // namespace

std::vector<KeyMove> RepartitionPlanner::plan(const std::vector<DemandPoint> &demand,
                                              const std::vector<PlannedRange> &present,
                                              const std::vector<double> &capacities) const
{
    std::vector<KeyMove> moves;
    for (const auto &planned : partitionByDemand(demand, capacities)) {
        for (const auto &it : present) {
            if (it.holder != planned.holder && it.range.overlaps(planned.range)) {
                moves.push_back({ intersection(it.range, planned.range), it.holder, planned.holder });
            }
        }
    }
    return moves;
}

std::vector<KeyMove> SlicePlanner::plan(const std::vector<DemandPoint> &demand,
                                        const std::vector<PlannedRange> &present,
                                        const std::vector<double> &capacities) const
{
    return SlicePlanBuilder(demand, present, capacities).run();
}

} // namespace Toucandeck
