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

constexpr std::chrono::milliseconds kLeaseMargin{ 50 }; ///< For the time between deciding a lease and sending it.
constexpr std::chrono::seconds kFreedKept{ 20 };
constexpr std::chrono::minutes kEndedKept{ 2 };

/// Demand that a lost holder reported is used for this long; by then its successors report their own.
constexpr std::chrono::seconds kDemandKept{ 2 };

std::optional<std::size_t> findHolder(const std::vector<const KeyHolder *> &holders, const std::string &incarnation)
{
    const auto it = std::find_if(holders.begin(), holders.end(), [&](const auto *holder) { return holder->incarnation == incarnation; });
    return it == holders.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - holders.begin()));
}

std::optional<std::size_t> findBeside(const std::vector<const KeyHolder *> &holders, const std::string &router)
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
    , m_leadsSince(clock.now())
{
}

void KeyCoordinator::leadershipGained()
{
    m_leadsSince = m_clock.now();
    m_leaseEnds.clear();
    m_services.clear();
}

TimePoint KeyCoordinator::leaseEnd(const std::string &incarnation) const
{
    const auto longest = std::chrono::duration_cast<Duration>(m_options.lease * (1 + m_options.clockDrift)) + kLeaseMargin;
    const auto it = m_leaseEnds.find(incarnation);
    return std::max(it == m_leaseEnds.end() ? TimePoint::min() : it->second, m_leadsSince + longest);
}

wire::LeaseGrant KeyCoordinator::grant(const std::string &service, const std::string &incarnation)
{
    wire::LeaseGrant grant;
    grant.set_incarnation(incarnation);
    grant.set_duration_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.lease).count()));
    const auto found = m_state.tables().find(service);
    if (found == m_state.tables().end() || m_ended.count(incarnation) != 0) {
        return grant;
    }
    const auto &state = m_services[service];
    KeyRows kept = found->second.keys;
    for (const auto &row : found->second.keys.heldBy(incarnation)) {
        for (const auto &it : state.releases) {
            if (concerns(it, it.from, row)) {
                kept.assign({ intersection(it.range, row.range), {}, {}, 0, {} });
            }
        }
        for (const auto &it : state.freed) {
            if (concerns(it, it.incarnation, row)) {
                kept.assign({ intersection(it.range, row.range), {}, {}, 0, {} });
            }
        }
    }
    for (const auto &it : kept.heldBy(incarnation)) {
        *grant.add_rows() = toWire(it);
    }
    const auto longest = std::chrono::duration_cast<Duration>(m_options.lease * (1 + m_options.clockDrift)) + kLeaseMargin;
    m_leaseEnds[incarnation] = m_clock.now() + longest;
    return grant;
}

void KeyCoordinator::freed(const std::string &service, const wire::FreedKeys &keys)
{
    auto &state = m_services[service];
    const KeyRange range{ keys.from(), keys.to() };
    const auto known
        = [&](const Freed &it) { return it.incarnation == keys.incarnation() && it.fence == keys.fence() && it.range == range; };
    if (std::none_of(state.freed.begin(), state.freed.end(), known)) {
        state.freed.push_back({ keys.incarnation(), keys.fence(), range, keys.handover(), m_clock.now() });
    }
}

void KeyCoordinator::ended(const std::string &incarnation)
{
    m_ended.emplace(incarnation, m_clock.now());
}

void KeyCoordinator::seen(const std::string &service, const std::string &router, const std::string &incarnation)
{
    const auto found = m_state.tables().find(service);
    if (found == m_state.tables().end()) {
        return;
    }
    for (const auto &row : found->second.keys.rows()) {
        if (row.router == router && isLaterIncarnation(incarnation, row.holder)) {
            ended(row.holder);
        }
    }
}

void KeyCoordinator::tick(const std::vector<std::string> &keyedServices, const std::vector<KeyHolder> &holders)
{
    const auto now = m_clock.now();
    std::erase_if(m_ended, [now](const auto &it) { return now - it.second > kEndedKept; });
    for (const auto &service : keyedServices) {
        Holders announced;
        for (const auto &it : holders) {
            if (it.service == service && m_ended.count(it.incarnation) == 0) {
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
    Holders usable;
    std::copy_if(announced.begin(), announced.end(), std::back_inserter(usable), [](const auto *it) { return it->mayHold; });
    if (usable.size() != state.holdersSeen) {
        state.holdersSeen = usable.size();
        state.holdersChanged = now;
    }
    std::erase_if(state.freed, [now](const Freed &it) { return now - it.at > kFreedKept; });
    noteDemand(state, announced);
    if (state.proposing || usable.empty()) {
        return;
    }
    const auto found = m_state.tables().find(service);
    const KeyTable table = found == m_state.tables().end() ? KeyTable{} : found->second;
    Round round{ announced, usable, table.keys, loadsOf(state, usable, table.keys) };
    bool changed = grantFirst(table, state, round);
    changed = takeFreed(state, round) || changed;
    changed = takeExpired(state, round) || changed;
    changed = takeLost(state, round) || changed;
    if (changed) {
        propose(service, table, state, round.rows);
        return;
    }
    releaseFromLeaving(state, round);
    rebalance(state, round);
}

void KeyCoordinator::noteDemand(ServiceState &state, const Holders &announced) const
{
    const auto now = m_clock.now();
    for (const auto *it : announced) {
        state.demand[it->incarnation] = { it->demand, now };
    }
    std::erase_if(state.demand, [now](const auto &it) { return now - it.second.at > kDemandKept; });
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

KeyLoads KeyCoordinator::loadsOf(const ServiceState &state, const Holders &usable, const KeyRows &rows)
{
    std::vector<double> capacities;
    std::map<std::string, std::size_t> indices;
    for (const auto *it : usable) {
        indices[it->incarnation] = capacities.size();
        capacities.push_back(it->capacity);
    }
    KeyLoads loads(allDemand(state), std::move(capacities));
    for (const auto &row : rows.rows()) {
        if (const auto it = indices.find(row.holder); it != indices.end()) {
            loads.give(row.range, it->second);
        }
    }
    return loads;
}

bool KeyCoordinator::grantFirst(const KeyTable &table, const ServiceState &state, Round &round) const
{
    if (table.revision != 0 || m_clock.now() - state.holdersChanged < m_options.settle) {
        return false;
    }
    for (const auto &it : partitionEvenly(round.usable.size())) {
        giveTo(round, it.range, it.holder, {});
    }
    return true;
}

void KeyCoordinator::giveTo(Round &round, KeyRange range, std::size_t holder, const std::string &handover)
{
    const auto &to = *round.usable[holder];
    round.rows.assign({ range, to.incarnation, to.router, 0, handover });
    round.loads.give(range, holder);
}

void KeyCoordinator::giveTo(Round &round, KeyRange range, const std::string &wanted, const std::string &handover)
{
    if (const auto holder = findHolder(round.usable, wanted)) {
        giveTo(round, range, *holder, handover);
        return;
    }
    for (const auto &it : round.loads.spread(range)) {
        const auto &to = *round.usable[it.holder];
        round.rows.assign({ it.range, to.incarnation, to.router, 0, handover });
    }
}

bool KeyCoordinator::takeFreed(const ServiceState &state, Round &round) const
{
    bool changed = false;
    for (const auto &freed : state.freed) {
        const auto before = round.rows.rows();
        for (const auto &row : before) {
            if (concerns(freed, freed.incarnation, row)) {
                changed = placeFreed(state, round, intersection(row.range, freed.range), freed) || changed;
            }
        }
    }
    return changed;
}

bool KeyCoordinator::placeFreed(const ServiceState &state, Round &round, KeyRange range, const Freed &freed) const
{
    // One released range can hold the keys of several receivers.
    for (const auto &release : state.releases) {
        if (release.from != freed.incarnation || release.fence != freed.fence || !release.range.overlaps(range)) {
            continue;
        }
        giveTo(round, intersection(range, release.range), release.to, freed.handover);
    }
    for (const auto &row : round.rows.heldBy(freed.incarnation)) {
        if (concerns(freed, freed.incarnation, row) && row.range.overlaps(range)) {
            giveTo(round, intersection(row.range, range), std::string(), freed.handover);
        }
    }
    return true;
}

bool KeyCoordinator::takeExpired(const ServiceState &state, Round &round) const
{
    bool changed = false;
    const auto now = m_clock.now();
    for (const auto &release : state.releases) {
        if (now < release.freeAt) {
            continue;
        }
        const auto before = round.rows.rows();
        for (const auto &row : before) {
            if (!concerns(release, release.from, row)) {
                continue;
            }
            giveTo(round, intersection(row.range, release.range), release.to, {});
            changed = true;
        }
    }
    return changed;
}

bool KeyCoordinator::isFree(const std::string &incarnation, const Holders &announced) const
{
    if (incarnation.empty() || m_ended.count(incarnation) != 0) {
        return true;
    }
    return !findHolder(announced, incarnation) && m_clock.now() >= leaseEnd(incarnation);
}

bool KeyCoordinator::takeLost(ServiceState &state, Round &round)
{
    if (round.rows == KeyRows()) {
        return false;
    }
    bool changed = false;
    std::set<std::string> lost;
    const auto before = round.rows.rows();
    for (const auto &row : before) {
        if (!isFree(row.holder, round.announced)) {
            continue;
        }
        if (lost.insert(row.holder).second && !row.holder.empty()) {
            m_logger.write(FleetEvents::kHolderLost,
                           { field("holder", row.holder),
                             field("router", row.router),
                             field("fence", row.fence),
                             field("process_ended", m_ended.count(row.holder)) });
        }
        // The next incarnation at the same place gets the same keys, so that a balanced partition survives a restart of all.
        const auto next = findBeside(round.usable, row.router);
        giveTo(round, row.range, next ? round.usable[*next]->incarnation : std::string(), {});
        changed = true;
    }
    std::erase_if(state.releases, [&lost](const Release &it) { return lost.count(it.from) != 0; });
    return changed;
}

void KeyCoordinator::startRelease(ServiceState &state, const KeyRow &row, KeyRange range, const KeyHolder &to)
{
    state.releases.push_back({ range, row.holder, row.fence, to.incarnation, leaseEnd(row.holder) });
    m_changedHolders.insert(row.holder);
    m_logger.write(FleetEvents::kKeysReleasing,
                   { field("from", range.from),
                     field("to", range.to),
                     field("holder", row.holder),
                     field("receiver", to.incarnation),
                     field("fence", row.fence) });
}

void KeyCoordinator::releaseFromLeaving(ServiceState &state, Round &round)
{
    for (const auto &row : round.rows.rows()) {
        const auto holder = findHolder(round.announced, row.holder);
        const auto concernsRow = [&row](const Release &it) { return concerns(it, it.from, row); };
        const bool known = std::any_of(state.releases.begin(), state.releases.end(), concernsRow);
        if (!holder || round.announced[*holder]->mayHold || known) {
            continue;
        }
        for (const auto &it : round.loads.spread(row.range)) {
            startRelease(state, row, it.range, *round.usable[it.holder]);
        }
    }
}

void KeyCoordinator::rebalance(ServiceState &state, const Round &round)
{
    const auto now = m_clock.now();
    if (!state.releases.empty() || now - state.lastRebalance < m_options.rebalanceInterval) {
        return;
    }
    std::vector<PlannedRange> present;
    std::vector<double> capacities;
    for (const auto &row : round.rows.rows()) {
        const auto holder = findHolder(round.usable, row.holder);
        if (!holder) {
            return; // A lost holder's keys come first.
        }
        present.push_back({ row.range, *holder });
    }
    for (const auto *it : round.usable) {
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
            if (row.holder == round.usable[move.from]->incarnation && row.range.overlaps(move.range)) {
                startRelease(state, row, intersection(row.range, move.range), *round.usable[move.to]);
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
        if (!it.holder.empty() && it.fence == 0) {
            m_logger.write(FleetEvents::kKeysAssigned,
                           { field("service", service),
                             field("from", it.range.from),
                             field("to", it.range.to),
                             field("holder", it.holder),
                             field("handover", !it.handover.empty()),
                             field("revision", table.revision) });
        }
    }
    state.proposing = true;
    m_propose(command, [this, service, rows](bool committed) {
        auto &current = m_services[service];
        current.proposing = false;
        if (!committed) {
            return;
        }
        for (const auto &row : rows.rows()) {
            if (!row.holder.empty() && row.fence == 0) {
                m_changedHolders.insert(row.holder);
            }
        }
        // A release is over once the keys have another holder.
        std::erase_if(current.releases, [&rows](const Release &it) {
            const auto &all = rows.rows();
            return std::none_of(all.begin(), all.end(), [&it](const KeyRow &row) { return concerns(it, it.from, row); });
        });
        std::erase_if(current.freed, [&rows](const Freed &it) {
            const auto &all = rows.rows();
            return std::none_of(all.begin(), all.end(), [&it](const KeyRow &row) { return concerns(it, it.incarnation, row); });
        });
    });
}

std::size_t KeyCoordinator::releasing() const
{
    std::size_t n = 0;
    for (const auto &[service, state] : m_services) {
        n += state.releases.size();
    }
    return n;
}

std::set<std::string> KeyCoordinator::takeChangedHolders()
{
    return std::exchange(m_changedHolders, {});
}

} // namespace Toucandeck
