#include "fleet/key_coordinator.h"

#include "fleet/events.h"
#include "fleet/incarnation.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kLeaseMargin{ 50 }; ///< For the time between granting a lease and sending it.
constexpr std::chrono::seconds kReleasedRangeRetention{ 20 };
constexpr std::chrono::minutes kTerminatedRetention{ 2 };

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
    for (const auto &it : rowsToKeep(found->second.keys, m_services[service], incarnation)) {
        *grant.add_rows() = toWire(it);
    }
    const auto maxDuration = std::chrono::duration_cast<Duration>(m_options.leaseDuration * (1 + m_options.clockDrift)) + kLeaseMargin;
    m_leaseExpiries[incarnation] = m_clock.now() + maxDuration;
    return grant;
}

std::vector<KeyRow> KeyCoordinator::rowsToKeep(const KeyRows &rows, const ServiceState &state, const std::string &incarnation)
{
    std::vector<KeyRow> kept;
    for (const auto &row : rows.rowsHeldBy(incarnation)) {
        for (const auto &range : rangesToKeep(row, state)) {
            kept.push_back(row);
            kept.back().range = range;
        }
    }
    return kept;
}

std::vector<KeyRange> KeyCoordinator::rangesToKeep(const KeyRow &row, const ServiceState &state)
{
    std::vector<KeyRange> ranges{ row.range };
    for (const auto &it : state.pendingReleases) {
        ranges = matches(it, it.from, row) ? difference(ranges, it.range) : ranges;
    }
    for (const auto &it : state.releasedRanges) {
        ranges = matches(it, it.incarnation, row) ? difference(ranges, it.range) : ranges;
    }
    if (!state.pendingProposal) {
        return ranges;
    }
    // A holder that was lost may return after its keys were proposed for another one, and before that is committed.
    for (const auto &it : state.pendingProposal->rows()) {
        if (it.range.overlaps(row.range) && it.holder != row.holder) {
            ranges = difference(ranges, it.range);
        }
    }
    return ranges;
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

void KeyCoordinator::onIncarnationAnnounced(const std::string &router, const std::string &incarnation)
{
    for (const auto &[service, table] : m_state.tables()) {
        for (const auto &row : table.keys.rows()) {
            if (row.router == router && isLaterIncarnation(incarnation, row.holder)) {
                onTerminated(row.holder);
            }
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
    forgetServices(keyedServices);
}

void KeyCoordinator::forgetServices(const std::vector<std::string> &keyedServices)
{
    std::erase_if(m_services, [&keyedServices](const auto &it) {
        const auto &[service, state] = it;
        const bool isInUse = state.pendingProposal || !state.pendingReleases.empty() || !state.releasedRanges.empty();
        return !isInUse && std::find(keyedServices.begin(), keyedServices.end(), service) == keyedServices.end();
    });
}

std::size_t KeyCoordinator::serviceCount() const
{
    return m_services.size();
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
    if (state.pendingProposal || eligible.empty()) {
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

std::optional<std::size_t> KeyCoordinator::findHolder(const Holders &holders, const std::string &incarnation)
{
    const auto it = std::find_if(holders.begin(), holders.end(), [&](const auto *holder) { return holder->incarnation == incarnation; });
    return it == holders.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - holders.begin()));
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
    state.pendingProposal = rows;
    m_propose(command, [this, service, rows](bool committed) {
        auto &current = m_services[service];
        current.pendingProposal.reset();
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
