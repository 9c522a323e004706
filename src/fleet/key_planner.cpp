#include "fleet/key_planner.h"

#include "fleet/key_rows.h"

#include <algorithm>
#include <set>

namespace Toucandeck
{

namespace
{

constexpr double kBusy = 0.75; ///< Utilisation below which no keys move because of load.
constexpr double kAboveMean = 1.25; ///< Times the mean utilisation at which a holder gives up keys; less is within the noise of demand.
constexpr double kTargetAboveMean = 1.1; ///< Times the mean utilisation to which a holder is relieved and others are filled.
constexpr double kTargetLeast = 0.6; ///< Utilisation to which holders may be filled in any case.
constexpr double kLeastMove = 0.06; ///< Of the giver's capacity; moves of less are not worth the interruption.
constexpr double kWholeRange = 1.15; ///< Times the wanted weight up to which a range goes whole.
constexpr double kTooHeavy = 2; ///< Times the wanted weight above which one key stays where it is.
constexpr std::size_t kMaxMoves = 64; ///< In one plan.
constexpr std::size_t kMaxRanges = 40; ///< Of a holder; the answer to a heartbeat has room for about twice as many.

/// Ranges of the holders while a plan is made.
class Draft
{
public:
    Draft(const std::vector<DemandPoint> &demand, const std::vector<PlannedRange> &present, const std::vector<double> &capacities)
        : m_loads(demand, capacities)
        , m_ranges(capacities.size())
        , m_received(capacities.size(), 0)
    {
        for (const auto &it : present) {
            m_ranges[it.holder].push_back(it.range);
            m_loads.give(it.range, it.holder);
        }
    }

    std::vector<KeyMove> run()
    {
        const double mean = m_loads.meanUtilisation();
        const double target = std::max(mean * kTargetAboveMean, kTargetLeast);
        giveToNewcomers(mean);
        while (m_moves.size() < kMaxMoves) {
            const auto from = busiest();
            if (!from || m_loads.utilisation(*from) < std::max(kBusy, mean * kAboveMean)) {
                break;
            }
            const auto to = roomiest(target, *from);
            if (!to || !moveSlice(*from, *to, wanted(*from, *to, target))) {
                m_fixed.insert(*from);
            }
        }
        return std::move(m_moves);
    }

private:
    double excess(std::size_t holder, double target) const
    {
        return m_loads.load(holder) - target * m_loads.capacity(holder);
    }

    double wanted(std::size_t from, std::size_t to, double target) const
    {
        return std::min(excess(from, target), -excess(to, target));
    }

    void giveToNewcomers(double mean)
    {
        for (std::size_t to = 0; to < m_ranges.size(); ++to) {
            if (!m_ranges[to].empty()) {
                continue;
            }
            if (const auto from = busiest()) {
                const double share = mean * m_loads.capacity(to);
                moveSlice(*from, to, std::min(share, m_loads.load(*from) / 2), 0);
            }
        }
    }

    /// The busiest holder that can still give up keys.
    std::optional<std::size_t> busiest() const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < m_ranges.size(); ++i) {
            const bool better = !best || m_loads.utilisation(i) > m_loads.utilisation(*best);
            if (!m_ranges[i].empty() && m_fixed.count(i) == 0 && better) {
                best = i;
            }
        }
        return best;
    }

    std::optional<std::size_t> roomiest(double target, std::size_t besides) const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < m_ranges.size(); ++i) {
            const bool takes = i != besides && m_ranges[i].size() + m_received[i] < kMaxRanges && excess(i, target) < 0;
            if (takes && (!best || excess(i, target) < excess(*best, target))) {
                best = i;
            }
        }
        return best;
    }

    bool moveSlice(std::size_t from, std::size_t to, double weight)
    {
        return moveSlice(from, to, weight, kLeastMove * m_loads.capacity(from));
    }

    bool moveSlice(std::size_t from, std::size_t to, double weight, double least)
    {
        if (weight < least) {
            return false;
        }
        auto &ranges = m_ranges[from];
        const auto heaviest = std::max_element(
            ranges.begin(), ranges.end(), [this](const auto &a, const auto &b) { return m_loads.weight(a) < m_loads.weight(b); });
        const auto whole = *heaviest;
        const bool last = ranges.size() == 1;
        const auto piece = !last && m_loads.weight(whole) <= weight * kWholeRange ? whole : lightSlice(whole, weight);
        if ((last && piece == whole) || m_loads.weight(piece) > weight * kTooHeavy) {
            return false;
        }
        ranges.erase(heaviest);
        if (piece.from > whole.from) {
            ranges.push_back({ whole.from, piece.from - 1 });
        }
        if (piece.to < whole.to) {
            ranges.push_back({ piece.to + 1, whole.to });
        }
        ++m_received[to];
        m_loads.take(piece, from);
        m_loads.give(piece, to);
        m_moves.push_back({ piece, from, to });
        return true;
    }

    /// Of the slices at both ends the one with fewer keys: the fewer keys move, the fewer callers notice.
    KeyRange lightSlice(KeyRange range, double weight) const
    {
        const auto first = m_loads.slice(range, weight, false);
        const auto last = m_loads.slice(range, weight, true);
        const bool firstTooHeavy = m_loads.weight(first) > weight * kTooHeavy;
        const bool lastTooHeavy = m_loads.weight(last) > weight * kTooHeavy;
        if (firstTooHeavy != lastTooHeavy) {
            return firstTooHeavy ? last : first;
        }
        return first.size() < last.size() ? first : last;
    }

    KeyLoads m_loads;
    std::vector<std::vector<KeyRange>> m_ranges; ///< By holder; what it still gives up.
    std::vector<std::size_t> m_received; ///< Ranges that a holder gets; they do not move on in the same plan.
    std::set<std::size_t> m_fixed; ///< Holders that have nothing to give up that fits.
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
    return Draft(demand, present, capacities).run();
}

} // namespace Toucandeck
