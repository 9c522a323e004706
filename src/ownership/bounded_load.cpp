#include "ownership/bounded_load.h"

#include "ownership/placement_tally.h"

#include <cmath>

namespace Toucandeck
{

namespace
{

/// Maximum load relative to the fair share. Below 1.1 small changes of weights move partitions; above it the most loaded instance
/// limits the service earlier.
constexpr double kMaxLoadFactor = 1.1;
/// Keeps ceil() from adding a partition because of rounding errors in the share.
constexpr double kRoundingTolerance = 1e-9;

/// State of one plan() call.
class Planner
{
public:
    explicit Planner(const PlacementInput &input)
        : m_input(input)
        , m_bounds(BoundedLoadPlacement::bounds(input))
        , m_tally(input)
    {
    }

    std::vector<PlacementChange> plan()
    {
        forEachUnblocked([this](std::size_t i) { grant(i); });
        forEachUnblocked([this](std::size_t i) { moveFromIneligibleOwner(i); });
        forEachUnblocked([this](std::size_t i) { moveFromOverloadedOwner(i); });
        return std::move(m_changes);
    }

private:
    template<class Step>
    void forEachUnblocked(Step step)
    {
        for (std::size_t i = 0; i < m_input.partitions.size(); ++i) {
            if (!m_input.partitions[i].isBlocked && !m_input.partitions[i].movingTo) {
                step(i);
            }
        }
    }

    void grant(std::size_t partition)
    {
        if (m_input.partitions[partition].owner) {
            return;
        }
        auto to = m_tally.leastLoaded(m_bounds, false);
        if (!to) {
            // The instances below their bounds may not receive now: exceeding a bound is better than keys without an owner.
            to = m_tally.leastLoaded(std::vector<std::uint32_t>(m_bounds.size(), UINT32_MAX), false);
        }
        if (to) {
            m_tally.addGrant(*to);
            addChange(partition, *to);
        }
    }

    /// Moves a partition away from an instance that may not own.
    void moveFromIneligibleOwner(std::size_t partition)
    {
        const auto owner = m_tally.indexOf(m_input.partitions[partition].owner);
        if (owner && m_bounds[*owner] == 0) {
            move(partition, *owner);
        }
    }

    /// Moves a partition away from an instance above its bound.
    void moveFromOverloadedOwner(std::size_t partition)
    {
        const auto owner = m_tally.indexOf(m_input.partitions[partition].owner);
        if (owner && m_bounds[*owner] > 0 && m_tally.count(*owner) > m_bounds[*owner]) {
            move(partition, *owner);
        }
    }

    void move(std::size_t partition, std::size_t from)
    {
        if (const auto to = m_tally.leastLoaded(m_bounds, true)) {
            m_tally.addMove(from, *to);
            addChange(partition, *to);
        }
    }

    void addChange(std::size_t partition, std::size_t to)
    {
        m_changes.push_back(
            { PartitionId{ static_cast<std::uint32_t>(partition) }, m_input.partitions[partition].owner, m_input.receivers[to].session });
    }

    const PlacementInput &m_input;
    std::vector<std::uint32_t> m_bounds;
    internal::PlacementTally m_tally;
    std::vector<PlacementChange> m_changes;
};

} // namespace

std::vector<std::uint32_t> BoundedLoadPlacement::bounds(const PlacementInput &input)
{
    double total = 0;
    for (const auto &it : input.receivers) {
        total += internal::isEligibleOwner(it) ? it.weight : 0;
    }
    std::vector<std::uint32_t> bounds;
    for (const auto &it : input.receivers) {
        const double share = internal::isEligibleOwner(it) ? static_cast<double>(input.partitions.size()) * it.weight / total : 0;
        bounds.push_back(static_cast<std::uint32_t>(std::ceil(kMaxLoadFactor * share - kRoundingTolerance)));
    }
    return bounds;
}

std::vector<PlacementChange> BoundedLoadPlacement::plan(const PlacementInput &input) const
{
    return Planner(input).plan();
}

} // namespace Toucandeck
