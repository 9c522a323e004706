#include "fleet/key_coordinator.h"

#include "fleet/events.h"
#include "fleet/incarnation.h"

#include "common/assert.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kLeaseMargin{ 50 }; ///< For the time between granting a lease and sending it.
constexpr std::chrono::seconds kReleasedRangeRetention{ 20 };
constexpr std::chrono::minutes kTerminatedRetention{ 2 };

/// Demand reported by a lost holder is used for this long; its successors report their own demand by then.
constexpr std::chrono::seconds kDemandRetention{ 2 };

std::optional<std::size_t> findHolder(const std::vector<const KeyHolder *> &holders, const std::string &incarnation)
{
    const auto it = std::find_if(holders.begin(), holders.end(), [&](const auto *holder) { return holder->incarnation == incarnation; });
    return it == holders.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - holders.begin()));
}

std::optional<std::size_t> findByRouter(const std::vector<const KeyHolder *> &holders, const std::string &router)
{
    const auto it = std::find_if(holders.begin(), holders.end(), [&](const auto *holder) { return holder->router == router; });
    return it == holders.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - holders.begin()));
}

} // namespace

KeyCoordinator::KeyCoordinator(
    const Clock &clock, Logger &logger, const FleetState &state, const KeyPlanner &planner, KeyLeaseOptions options, Propose propose)
    : m_clock(clock)
    , m_logger(logger)
    , m_state(state)
    , m_planner(planner)
    , m_options(options)
    , m_propose(std::move(propose))
    , m_leaderSince(clock.now())
{
}

void KeyCoordinator::onLeadershipGained()
{
    m_leaderSince = m_clock.now();
    m_leaseExpiries.clear();
    m_services.clear();
}

TimePoint KeyCoordinator::latestLeaseExpiry(const std::string &incarnation) const
{
    const auto maxDuration = std::chrono::duration_cast<Duration>(m_options.leaseDuration * (1 + m_options.clockDrift)) + kLeaseMargin;
    const auto it = m_leaseExpiries.find(incarnation);
    return std::max(it == m_leaseExpiries.end() ? TimePoint::min() : it->second, m_leaderSince + maxDuration);
}

wire::LeaseGrant KeyCoordinator::grantLease(const std::string &service, const std::string &incarnation)
{
    wire::LeaseGrant grant;
    grant.set_incarnation(incarnation);
    grant.set_duration_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.leaseDuration).count()));
    const auto found = m_state.tables().find(service);
    if (found == m_state.tables().end() || m_terminatedIncarnations.count(incarnation) != 0) {
        return grant;
    }
    const auto &state = m_services[service];
    KeyRows kept = found->second.keys;
    for (const auto &row : found->second.keys.rowsHeldBy(incarnation)) {
        for (const auto &it : state.pendingReleases) {
            if (matches(it, it.from, row)) {
                kept.assign({ intersection(it.range, row.range), {}, {}, 0, {} });
            }
        }
        for (const auto &it : state.releasedRanges) {
            if (matches(it, it.incarnation, row)) {
                kept.assign({ intersection(it.range, row.range), {}, {}, 0, {} });
            }
        }
    }
    for (const auto &it : kept.rowsHeldBy(incarnation)) {
        *grant.add_rows() = toWire(it);
    }
    const auto maxDuration = std::chrono::duration_cast<Duration>(m_options.leaseDuration * (1 + m_options.clockDrift)) + kLeaseMargin;
    m_leaseExpiries[incarnation] = m_clock.now() + maxDuration;
    return grant;
}

void KeyCoordinator::onReleased(const std::string &service, const wire::FreedKeys &keys)
{
    auto &state = m_services[service];
    const KeyRange range{ keys.from(), keys.to() };
    const auto isKnown = [&](const ReleasedRange &it) {
        return it.incarnation == keys.incarnation() && it.fencingToken == keys.fence() && it.range == range;
    };
    if (std::none_of(state.releasedRanges.begin(), state.releasedRanges.end(), isKnown)) {
        state.releasedRanges.push_back({ keys.incarnation(), keys.fence(), range, keys.handover(), m_clock.now() });
    }
}

void KeyCoordinator::onTerminated(const std::string &incarnation)
{
    m_terminatedIncarnations.emplace(incarnation, m_clock.now());
}

void KeyCoordinator::onIncarnationAnnounced(const std::string &service, const std::string &router, const std::string &incarnation)
{
    const auto found = m_state.tables().find(service);
    if (found == m_state.tables().end()) {
        return;
    }
    for (const auto &row : found->second.keys.rows()) {
        if (row.router == router && isLaterIncarnation(incarnation, row.holder)) {
            onTerminated(row.holder);
        }
    }
}

void KeyCoordinator::tick(const std::vector<std::string> &keyedServices, const std::vector<KeyHolder> &holders)
{
    const auto now = m_clock.now();
    std::erase_if(m_terminatedIncarnations, [now](const auto &it) { return now - it.second > kTerminatedRetention; });
    for (const auto &service : keyedServices) {
        Holders announced;
        for (const auto &it : holders) {
            if (it.service == service && m_terminatedIncarnations.count(it.incarnation) == 0) {
                announced.push_back(&it);
            }
        }
        tickService(service, announced);
    }
}

void KeyCoordinator::tickService(const std::string &service, const Holders &announced)
{
    auto &state = m_services[service];
    const auto now = m_clock.now();
    Holders eligible;
    std::copy_if(announced.begin(), announced.end(), std::back_inserter(eligible), [](const auto *it) { return it->isEligible; });
    if (eligible.size() != state.eligibleCount) {
        state.eligibleCount = eligible.size();
        state.lastEligibleChange = now;
    }
    std::erase_if(state.releasedRanges, [now](const ReleasedRange &it) { return now - it.receivedAt > kReleasedRangeRetention; });
    recordDemand(state, announced);
    if (state.isProposalPending || eligible.empty()) {
        return;
    }
    const auto found = m_state.tables().find(service);
    const KeyTable table = found == m_state.tables().end() ? KeyTable{} : found->second;
    Round round{ announced, eligible, table.keys, loadsOf(state, eligible, table.keys) };
    bool changed = assignInitial(table, state, round);
    changed = assignReleased(state, round) || changed;
    changed = assignExpired(state, round) || changed;
    changed = assignLost(state, round) || changed;
    if (changed) {
        propose(service, table, state, round.rows);
        return;
    }
    releaseFromIneligible(state, round);
    rebalance(state, round);
}

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

bool KeyCoordinator::assignInitial(const KeyTable &table, const ServiceState &state, Round &round) const
{
    if (table.revision != 0 || m_clock.now() - state.lastEligibleChange < m_options.settlingTime) {
        return false;
    }
    for (const auto &it : partitionEvenly(round.eligible.size())) {
        assignTo(round, it.range, it.holder, {});
    }
    return true;
}

void KeyCoordinator::assignTo(Round &round, KeyRange range, std::size_t holder, const std::string &handover)
{
    const auto &to = *round.eligible[holder];
    round.rows.assign({ range, to.incarnation, to.router, 0, handover });
    round.loads.assign(range, holder);
}

void KeyCoordinator::assignTo(Round &round, KeyRange range, const std::string &preferred, const std::string &handover)
{
    if (const auto holder = findHolder(round.eligible, preferred)) {
        assignTo(round, range, *holder, handover);
        return;
    }
    for (const auto &it : round.loads.distribute(range)) {
        const auto &to = *round.eligible[it.holder];
        round.rows.assign({ it.range, to.incarnation, to.router, 0, handover });
    }
}

bool KeyCoordinator::assignReleased(const ServiceState &state, Round &round) const
{
    bool changed = false;
    for (const auto &released : state.releasedRanges) {
        const auto before = round.rows.rows();
        for (const auto &row : before) {
            if (matches(released, released.incarnation, row)) {
                changed = assignReleasedRange(state, round, intersection(row.range, released.range), released) || changed;
            }
        }
    }
    return changed;
}

bool KeyCoordinator::assignReleasedRange(const ServiceState &state, Round &round, KeyRange range, const ReleasedRange &released) const
{
    // One released range can contain the keys of several receivers.
    for (const auto &release : state.pendingReleases) {
        if (release.from != released.incarnation || release.fencingToken != released.fencingToken || !release.range.overlaps(range)) {
            continue;
        }
        assignTo(round, intersection(range, release.range), release.to, released.handover);
    }
    for (const auto &row : round.rows.rowsHeldBy(released.incarnation)) {
        if (matches(released, released.incarnation, row) && row.range.overlaps(range)) {
            assignTo(round, intersection(row.range, range), std::string(), released.handover);
        }
    }
    return true;
}

bool KeyCoordinator::assignExpired(const ServiceState &state, Round &round) const
{
    bool changed = false;
    const auto now = m_clock.now();
    for (const auto &release : state.pendingReleases) {
        if (now < release.leaseExpiry) {
            continue;
        }
        const auto before = round.rows.rows();
        for (const auto &row : before) {
            if (!matches(release, release.from, row)) {
                continue;
            }
            assignTo(round, intersection(row.range, release.range), release.to, {});
            changed = true;
        }
    }
    return changed;
}

bool KeyCoordinator::isReassignable(const std::string &incarnation, const Holders &announced) const
{
    if (incarnation.empty() || m_terminatedIncarnations.count(incarnation) != 0) {
        return true;
    }
    return !findHolder(announced, incarnation) && m_clock.now() >= latestLeaseExpiry(incarnation);
}

bool KeyCoordinator::assignLost(ServiceState &state, Round &round)
{
    if (round.rows == KeyRows()) {
        return false;
    }
    bool changed = false;
    std::set<std::string> lost;
    const auto before = round.rows.rows();
    for (const auto &row : before) {
        if (!isReassignable(row.holder, round.announced)) {
            continue;
        }
        if (lost.insert(row.holder).second && !row.holder.empty()) {
            m_logger.write(FleetEvents::kHolderLost,
                           { field("holder", row.holder),
                             field("router", row.router),
                             field("fence", row.fencingToken),
                             field("process_ended", m_terminatedIncarnations.count(row.holder)) });
        }
        // An incarnation beside the same router gets the same keys, so that a balanced partition survives a restart of all holders.
        const auto next = findByRouter(round.eligible, row.router);
        assignTo(round, row.range, next ? round.eligible[*next]->incarnation : std::string(), {});
        changed = true;
    }
    std::erase_if(state.pendingReleases, [&lost](const PendingRelease &it) { return lost.count(it.from) != 0; });
    return changed;
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

void KeyCoordinator::propose(const std::string &service, const KeyTable &table, ServiceState &state, const KeyRows &rows)
{
    wire::KeyTable command;
    command.set_service(service);
    command.set_revision(table.revision);
    for (const auto &it : rows.rows()) {
        *command.add_rows() = toWire(it);
        if (!it.holder.empty() && it.fencingToken == 0) {
            m_logger.write(FleetEvents::kKeysAssigned,
                           { field("service", service),
                             field("from", it.range.from),
                             field("to", it.range.to),
                             field("holder", it.holder),
                             field("handover", !it.handover.empty()),
                             field("revision", table.revision) });
        }
    }
    state.isProposalPending = true;
    m_propose(command, [this, service, rows](bool committed) {
        auto &current = m_services[service];
        current.isProposalPending = false;
        if (!committed) {
            return;
        }
        for (const auto &row : rows.rows()) {
            if (!row.holder.empty() && row.fencingToken == 0) {
                m_changedHolders.insert(row.holder);
            }
        }
        // A release is complete once all its keys have another holder or assignment.
        std::erase_if(current.pendingReleases, [&rows](const PendingRelease &it) {
            const auto &all = rows.rows();
            return std::none_of(all.begin(), all.end(), [&it](const KeyRow &row) { return matches(it, it.from, row); });
        });
        std::erase_if(current.releasedRanges, [&rows](const ReleasedRange &it) {
            const auto &all = rows.rows();
            return std::none_of(all.begin(), all.end(), [&it](const KeyRow &row) { return matches(it, it.incarnation, row); });
        });
    });
}

std::size_t KeyCoordinator::pendingReleaseCount() const
{
    std::size_t n = 0;
    for (const auto &[service, state] : m_services) {
        n += state.pendingReleases.size();
    }
    return n;
}

std::set<std::string> KeyCoordinator::takeChangedHolders()
{
    return std::exchange(m_changedHolders, {});
}

} // namespace Toucandeck
