#include "fleet/key_coordinator.h"

#include "fleet/events.h"

#include <algorithm>
#include <numeric>

namespace Toucandeck
{

namespace
{

/// Demand reported by a lost holder is used for this long; its successors report their own demand by then.
constexpr std::chrono::seconds kDemandRetention{ 2 };

} // namespace

void KeyCoordinator::recordDemand(ServiceState &state, const Holders &announced) const
{
    const auto now = m_clock.now();
    for (const auto *it : announced) {
        state.demand[it->incarnation] = { it->demand, now };
    }
    std::erase_if(state.demand, [now](const auto &it) { return now - it.second.receivedAt > kDemandRetention; });
}

std::vector<DemandPoint> KeyCoordinator::allDemand(const ServiceState &state)
{
    std::vector<DemandPoint> demand;
    for (const auto &[incarnation, it] : state.demand) {
        demand.insert(demand.end(), it.points.begin(), it.points.end());
    }
    std::sort(demand.begin(), demand.end(), [](const auto &a, const auto &b) { return a.key < b.key; });
    return demand;
}

KeyLoads KeyCoordinator::loadsOf(const ServiceState &state, const Holders &eligible, const KeyRows &rows)
{
    std::vector<double> capacities;
    std::map<std::string, std::size_t> indices;
    for (const auto *it : eligible) {
        indices[it->incarnation] = capacities.size();
        capacities.push_back(it->capacity);
    }
    KeyLoads loads(allDemand(state), std::move(capacities));
    for (const auto &row : rows.rows()) {
        if (const auto it = indices.find(row.holder); it != indices.end()) {
            loads.assign(row.range, it->second);
        }
    }
    return loads;
}

void KeyCoordinator::startRelease(ServiceState &state, const KeyRow &row, KeyRange range, const KeyHolder &to)
{
    state.pendingReleases.push_back({ range, row.holder, row.fencingToken, to.incarnation, latestLeaseExpiry(row.holder) });
    m_changedHolders.insert(row.holder);
    m_logger.write(FleetEvents::kKeysReleasing,
                   { field("from", range.from),
                     field("to", range.to),
                     field("holder", row.holder),
                     field("receiver", to.incarnation),
                     field("fence", row.fencingToken) });
}

void KeyCoordinator::releaseFromIneligible(ServiceState &state, Round &round)
{
    for (const auto &row : round.rows.rows()) {
        const auto holder = findHolder(round.announced, row.holder);
        const auto matchesRow = [&row](const PendingRelease &it) { return matches(it, it.from, row); };
        const bool isPending = std::any_of(state.pendingReleases.begin(), state.pendingReleases.end(), matchesRow);
        if (!holder || round.announced[*holder]->isEligible || isPending) {
            continue;
        }
        for (const auto &it : round.loads.distribute(row.range)) {
            startRelease(state, row, it.range, *round.eligible[it.holder]);
        }
    }
}

void KeyCoordinator::rebalance(ServiceState &state, const Round &round)
{
    const auto now = m_clock.now();
    if (!state.pendingReleases.empty() || now - state.lastRebalance < m_options.rebalanceInterval) {
        return;
    }
    std::vector<PlannedRange> present;
    std::vector<double> capacities;
    for (const auto &row : round.rows.rows()) {
        const auto holder = findHolder(round.eligible, row.holder);
        if (!holder) {
            return; // Keys of lost holders are reassigned before any rebalancing.
        }
        present.push_back({ row.range, *holder });
    }
    for (const auto *it : round.eligible) {
        capacities.push_back(it->capacity);
    }
    auto demand = allDemand(state);
    const double rate = std::accumulate(demand.begin(), demand.end(), 0.0, [](double sum, const auto &it) { return sum + it.rate; });
    if (rate < m_options.minimumRate) {
        demand.clear();
    }
    const auto moves = m_planner.plan(demand, present, capacities);
    state.lastRebalance = moves.empty() ? state.lastRebalance : now;
    for (const auto &move : moves) {
        for (const auto &row : round.rows.rows()) {
            if (row.holder == round.eligible[move.from]->incarnation && row.range.overlaps(move.range)) {
                startRelease(state, row, intersection(row.range, move.range), *round.eligible[move.to]);
            }
        }
    }
}

} // namespace Toucandeck
