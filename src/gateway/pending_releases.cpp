#include "gateway/pending_releases.h"

#include "gateway/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

/// Fencing token of the released keys; zero if it is unknown.
std::uint64_t fencingTokenOf(KeyRange range, const std::vector<HeldKeys> &previousHolds, const std::vector<KeyRow> &sentRows)
{
    std::uint64_t fencingToken = 0;
    for (const auto &it : previousHolds) {
        fencingToken = it.range.overlaps(range) ? it.fencingToken : fencingToken;
    }
    if (fencingToken != 0) {
        return fencingToken;
    }
    const auto row = std::find_if(sentRows.begin(), sentRows.end(), [range](const KeyRow &it) { return it.range.overlaps(range); });
    return row == sentRows.end() ? 0 : row->fencingToken;
}

/// The parts of a range without the keys that are held under the fencing token. Keys that the backend server holds again, because a new
/// leader did not know of their release, are not released.
std::vector<KeyRange> withoutHeldKeys(KeyRange range, std::uint64_t fencingToken, const std::vector<HeldKeys> &holds)
{
    std::vector<KeyRange> remaining{ range };
    for (const auto &held : holds) {
        remaining = held.fencingToken == fencingToken ? difference(remaining, held.range) : remaining;
    }
    return remaining;
}

} // namespace

PendingReleases::PendingReleases(Logger &logger)
    : m_logger(logger)
{
}

void PendingReleases::record(const std::string &incarnation,
                             const Heartbeat &heartbeat,
                             const std::vector<HeldKeys> &previousHolds,
                             const std::vector<KeyRow> &sentRows,
                             const std::function<TimePoint(KeyRange)> &unansweredEnd)
{
    for (const auto &released : heartbeat.released) {
        const auto fencingToken = fencingTokenOf(released.range, previousHolds, sentRows);
        for (const auto &it : withoutHeldKeys(released.range, fencingToken, heartbeat.holds)) {
            add(incarnation, { it, fencingToken }, released.handover, unansweredEnd ? unansweredEnd(it) : TimePoint());
        }
    }
}

void PendingReleases::add(const std::string &incarnation, const HeldKeys &keys, const std::string &handover)
{
    add(incarnation, keys, handover, TimePoint());
}

void PendingReleases::add(const std::string &incarnation, const HeldKeys &released, const std::string &handover, TimePoint notBefore)
{
    wire::FreedKeys keys;
    keys.set_incarnation(incarnation);
    keys.set_from(released.range.from);
    keys.set_to(released.range.to);
    keys.set_fence(released.fencingToken);
    keys.set_handover(handover);
    m_logger.write(GatewayEvents::kKeysReleased,
                   { field("incarnation", incarnation),
                     field("from", released.range.from),
                     field("to", released.range.to),
                     field("fence", released.fencingToken),
                     field("handover", !handover.empty()) });
    m_entries.push_back({ std::move(keys), notBefore, 0 });
}

void PendingReleases::clear()
{
    m_entries.clear();
}

void PendingReleases::addTo(wire::Announce &announce, TimePoint now)
{
    for (auto &it : m_entries) {
        if (now < it.notBefore) {
            continue;
        }
        if (it.announcement == 0) {
            it.announcement = announce.sequence();
        }
        *announce.add_freed() = it.keys;
    }
}

void PendingReleases::onAnnouncementAcknowledged(std::uint64_t sequence)
{
    std::erase_if(m_entries, [sequence](const Entry &it) { return it.announcement != 0 && it.announcement <= sequence; });
}

std::vector<KeyRow> PendingReleases::removeFrom(std::vector<KeyRow> rows) const
{
    for (const auto &it : m_entries) {
        const KeyRange released{ it.keys.from(), it.keys.to() };
        std::vector<KeyRow> remaining;
        for (const auto &row : rows) {
            if (row.fencingToken != it.keys.fence() || !row.range.overlaps(released)) {
                remaining.push_back(row);
                continue;
            }
            for (const auto &part : difference(row.range, released)) {
                remaining.push_back(row);
                remaining.back().range = part;
            }
        }
        rows = std::move(remaining);
    }
    return rows;
}

} // namespace Toucandeck
