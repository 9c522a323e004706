#include "gateway/local_instance.h"

#include "gateway/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr double kClockDrift = 0.03; ///< Margin of the hold time; a backend server's clock may run 2% slow.
constexpr milliseconds kHoldMargin{ 20 }; ///< Subtracted from the hold time.
/// An answer grants no keys for less time than this: the grant would expire before the next heartbeat.
constexpr milliseconds kMinHoldTime{ 300 };

} // namespace

void LocalInstance::applyLease(const wire::LeaseGrant &lease, TimePoint sentAt)
{
    if (!m_current || lease.incarnation() != m_current->name) {
        return;
    }
    std::vector<KeyRow> rows;
    for (const auto &it : lease.rows()) {
        rows.push_back(fromWire(it));
    }
    const bool changed = rows != m_leasedRows;
    m_leasedRows = std::move(rows);
    m_leaseExpiry = std::max(m_leaseExpiry, sentAt + milliseconds(lease.duration_ms()));
    if (changed) {
        answerPending();
    }
}

void LocalInstance::onAnnouncementAcknowledged(std::uint64_t sequence)
{
    m_pendingReleases.onAnnouncementAcknowledged(sequence);
}

std::vector<KeyRow> LocalInstance::rowsToHold() const
{
    if (m_current && m_current->draining) {
        return {};
    }
    // A new leader without a record of the release may grant the keys again. If the backend server held them again, they could be granted
    // to another one at the same time.
    return m_pendingReleases.removeFrom(m_leasedRows);
}

std::optional<HeartbeatAnswer> LocalInstance::currentAnswer() const
{
    if (!m_current || !m_policy.keyed) {
        return std::nullopt;
    }
    const auto left = m_leaseExpiry - m_loop.clock().now();
    const auto hold = std::chrono::duration_cast<Duration>(left / (1 + kClockDrift)) - kHoldMargin;
    if (hold < kMinHoldTime) {
        return std::nullopt;
    }
    return HeartbeatAnswer{ rowsToHold(), hold };
}

void LocalInstance::answerPending()
{
    m_pendingAnswerTimer.cancel();
    if (m_pendingAnswer) {
        sendAnswer(std::exchange(m_pendingAnswer, nullptr));
    }
}

void LocalInstance::sendAnswer(const AnswerHandler &answer)
{
    auto current = currentAnswer();
    if (current) {
        m_sentRowsExpiry = m_loop.clock().now() + current->holdTime;
        if (current->rows != m_sentRows) {
            m_sentRows = current->rows;
            m_logger.write(GatewayEvents::kHoldsGranted,
                           { field("incarnation", m_current->name),
                             field("rows", m_sentRows.size()),
                             field("first",
                                   m_sentRows.empty() ? std::string()
                                                      : fmt::format("{}-{}", m_sentRows.front().range.from, m_sentRows.front().range.to)),
                             field("fence", m_sentRows.empty() ? 0 : m_sentRows.front().fencingToken),
                             field("hold_ms", std::chrono::duration_cast<milliseconds>(current->holdTime).count()) });
        }
    }
    answer(std::move(current));
}

bool LocalInstance::holdsKey(std::uint32_t key) const
{
    const auto now = m_loop.clock().now();
    const auto containsKey = [key](const KeyRow &it) { return it.range.contains(key); };
    const auto rows = rowsToHold();
    return now < m_sentRowsExpiry && now < m_leaseExpiry && std::any_of(m_sentRows.begin(), m_sentRows.end(), containsKey)
        && std::any_of(rows.begin(), rows.end(), containsKey);
}

bool LocalInstance::mayDelayAnswer(const Heartbeat &it) const
{
    if (!m_policy.keyed || it.draining || m_leaving || !it.released.empty()) {
        return false;
    }
    // If the backend server holds keys that it is to release, or lacks some, it must be notified at once.
    const auto rows = rowsToHold();
    const auto same = [](const HeldKeys &a, const KeyRow &b) { return a.range == b.range && a.fencingToken == b.fencingToken; };
    return std::equal(it.holds.begin(), it.holds.end(), rows.begin(), rows.end(), same);
}

} // namespace Toucandeck
