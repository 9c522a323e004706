#include "gateway/call_grants.h"

#include "gateway/events.h"
#include "gateway/grant_duration.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kRenewalInterval{ 900 }; ///< A lease outlasts three lost renewals.
constexpr milliseconds kArrivalMargin{ 300 }; ///< A call may arrive this much after it was sent, on a VM that was suspended meanwhile.
constexpr std::size_t kMaxGrantsInFlight = 4;
constexpr std::chrono::seconds kRefusedRetention{ 30 };

} // namespace

const char *toString(GrantOutcome outcome)
{
    switch (outcome) {
    case GrantOutcome::Accepted:
        return "accepted";
    case GrantOutcome::HigherTokenSeen:
        return "higher_token_seen";
    case GrantOutcome::Rejected:
        return "rejected";
    case GrantOutcome::Unanswered:
        return "unanswered";
    case GrantOutcome::NotSent:
        return "not_sent";
    }
    return "unknown";
}

CallGrants::CallGrants(const Clock &clock, Logger &logger, GrantPort &port)
    : m_clock(clock)
    , m_logger(logger)
    , m_port(port)
    , m_alive(std::make_shared<bool>(true))
{
}

CallGrants::~CallGrants()
{
    *m_alive = false;
}

void CallGrants::setReleasedHandler(ReleasedHandler handler)
{
    m_releasedHandler = std::move(handler);
}

void CallGrants::clear()
{
    m_rows.clear();
    m_expiry = {};
    m_earlierGrantsEnd = {};
    m_sent.clear();
    m_releases.clear();
    m_refused.clear();
}

void CallGrants::setEarlierGrantsEnd(TimePoint end)
{
    m_earlierGrantsEnd = end;
}

void CallGrants::recordHeld(const std::vector<KeyRow> &rows, TimePoint end)
{
    const auto now = m_clock.now();
    const auto latestEnd = latestHoldEnd(now, end - now);
    for (const auto &it : rows) {
        m_sent.push_back({ ++m_lastId, it.range, it.fencingToken, now, end, latestEnd, SentState::Accepted });
    }
}

void CallGrants::setRows(const std::vector<KeyRow> &rows, TimePoint expiry)
{
    m_rows = rows;
    m_expiry = expiry;
    tick();
}

void CallGrants::tick()
{
    forgetEnded();
    startReleases();
    sendReleases();
    reportReleased();
    sendGrants();
}

void CallGrants::forgetEnded()
{
    const auto now = m_clock.now();
    std::erase_if(m_sent, [now](const Sent &it) { return now >= it.latestEnd; });
    std::erase_if(m_refused, [now](const Refused &it) { return now - it.at > kRefusedRetention; });
}

std::vector<KeyRow> CallGrants::rowsToGrant() const
{
    std::vector<KeyRow> rows;
    for (const auto &row : m_rows) {
        std::vector<KeyRange> ranges{ row.range };
        for (const auto &it : m_releases) {
            ranges = it.fencingToken == row.fencingToken ? difference(ranges, it.range) : ranges;
        }
        for (const auto &it : m_refused) {
            ranges = it.fencingToken == row.fencingToken ? difference(ranges, it.range) : ranges;
        }
        for (const auto &it : ranges) {
            rows.push_back(row);
            rows.back().range = it;
        }
    }
    return rows;
}

bool CallGrants::isDue(const KeyRow &row) const
{
    const auto now = m_clock.now();
    // The last accepted grant of exactly this row is renewed in time; a call without an answer is repeated at once.
    return std::none_of(m_sent.begin(), m_sent.end(), [&row, now](const Sent &it) {
        const bool same = it.range == row.range && it.fencingToken == row.fencingToken;
        return same && (it.state == SentState::InFlight || (it.state == SentState::Accepted && now - it.at < kRenewalInterval));
    });
}

bool CallGrants::isInFlight(KeyRange range) const
{
    return std::any_of(
        m_sent.begin(), m_sent.end(), [range](const Sent &it) { return it.state == SentState::InFlight && it.range.overlaps(range); });
}

void CallGrants::sendGrants()
{
    const auto holdTime = holdTimeFor(m_expiry - m_clock.now());
    if (!holdTime) {
        return;
    }
    for (const auto &it : rowsToGrant()) {
        const auto inFlight
            = std::count_if(m_sent.begin(), m_sent.end(), [](const Sent &sent) { return sent.state == SentState::InFlight; });
        if (static_cast<std::size_t>(inFlight) < kMaxGrantsInFlight && isDue(it)) {
            sendGrant(it, *holdTime);
        }
    }
}

void CallGrants::sendGrant(const KeyRow &row, Duration holdTime)
{
    const auto now = m_clock.now();
    const auto releases = [&row](const Release &it) { return it.fencingToken == row.fencingToken && it.range.overlaps(row.range); };
    TOUCANDECK_ASSERT(std::none_of(m_releases.begin(), m_releases.end(), releases), "keys that are being released are not granted");
    Sent sent;
    sent.id = ++m_lastId;
    sent.range = row.range;
    sent.fencingToken = row.fencingToken;
    sent.at = now;
    sent.holdEnd = now + holdTime;
    sent.latestEnd = latestHoldEnd(now + kArrivalMargin, holdTime);
    m_sent.push_back(sent);
    ++m_counters.sent;
    m_port.grant({ row.range, row.fencingToken, holdTime, row.handover }, [this, alive = m_alive, id = sent.id](GrantOutcome outcome) {
        if (*alive) {
            onGrantDone(id, outcome);
        }
    });
}

void CallGrants::onGrantDone(std::uint64_t id, GrantOutcome outcome)
{
    const auto it = std::find_if(m_sent.begin(), m_sent.end(), [id](const Sent &sent) { return sent.id == id; });
    if (it == m_sent.end()) {
        return; // Another process has the address, or the grant has ended.
    }
    const Sent sent = *it;
    logGrant(sent, outcome);
    switch (outcome) {
    case GrantOutcome::Accepted:
        ++m_counters.accepted;
        it->state = SentState::Accepted;
        break;
    case GrantOutcome::Unanswered:
        ++m_counters.unanswered;
        it->state = SentState::Unanswered;
        break;
    case GrantOutcome::HigherTokenSeen:
    case GrantOutcome::Rejected:
        ++m_counters.refused;
        m_sent.erase(it);
        m_refused.push_back({ sent.range, sent.fencingToken, m_clock.now() });
        // The controllers assign the keys again, under a higher token.
        startRelease(sent.range, sent.fencingToken);
        break;
    case GrantOutcome::NotSent:
        m_sent.erase(it);
        return; // The next tick tries again.
    }
    tick();
}

void CallGrants::logGrant(const Sent &sent, GrantOutcome outcome) const
{
    const auto isRenewed = [&sent](const Sent &it) {
        return it.id != sent.id && it.state == SentState::Accepted && it.range == sent.range && it.fencingToken == sent.fencingToken;
    };
    if (outcome == GrantOutcome::NotSent || (outcome == GrantOutcome::Accepted && std::any_of(m_sent.begin(), m_sent.end(), isRenewed))) {
        return; // Renewals are too many to log.
    }
    m_logger.write(GatewayEvents::kGrantCalled,
                   { field("from", sent.range.from),
                     field("to", sent.range.to),
                     field("fence", sent.fencingToken),
                     field("outcome", toString(outcome)),
                     field("took_ms", duration_cast<milliseconds>(m_clock.now() - sent.at).count()),
                     field("hold_ms", duration_cast<milliseconds>(sent.holdEnd - sent.at).count()) });
}

bool CallGrants::holds(std::uint32_t key) const
{
    const auto now = m_clock.now();
    const auto rows = rowsToGrant();
    const auto row = std::find_if(rows.begin(), rows.end(), [key](const KeyRow &it) { return it.range.contains(key); });
    if (row == rows.end() || now >= m_expiry) {
        return false;
    }
    return std::any_of(m_sent.begin(), m_sent.end(), [&](const Sent &it) {
        return it.state == SentState::Accepted && it.fencingToken == row->fencingToken && it.range.contains(key) && now < it.holdEnd;
    });
}

bool CallGrants::mayBeHeld(KeyRange range, std::uint64_t fencingToken) const
{
    const auto now = m_clock.now();
    return std::any_of(m_sent.begin(), m_sent.end(), [=](const Sent &it) {
        return it.fencingToken == fencingToken && it.range.overlaps(range) && now < it.latestEnd;
    });
}

TimePoint CallGrants::unansweredEnd(KeyRange range) const
{
    auto end = m_earlierGrantsEnd;
    for (const auto &it : m_sent) {
        if (it.state != SentState::Accepted && it.range.overlaps(range)) {
            end = std::max(end, it.latestEnd);
        }
    }
    return end;
}

Duration CallGrants::oldestUnanswered() const
{
    const auto now = m_clock.now();
    Duration oldest{};
    for (const auto &it : m_sent) {
        if (it.state == SentState::Unanswered && now < it.latestEnd) {
            oldest = std::max<Duration>(oldest, now - it.at);
        }
    }
    return oldest;
}

const GrantCounters &CallGrants::counters() const
{
    return m_counters;
}

} // namespace Toucandeck
