#include "fleet/key_coordinator.h"

#include "fleet/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

std::optional<std::size_t> findByRouter(const std::vector<const KeyHolder *> &holders, const std::string &router)
{
    const auto it = std::find_if(holders.begin(), holders.end(), [&](const auto *holder) { return holder->router == router; });
    return it == holders.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - holders.begin()));
}

} // namespace

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

} // namespace Toucandeck
