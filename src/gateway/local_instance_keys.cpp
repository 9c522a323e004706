#include "gateway/local_instance.h"

#include "gateway/events.h"
#include "gateway/grant_duration.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr double kLeaseDrift = 0.03; ///< Margin of a lease for the clocks of the VMs.

} // namespace

void LocalInstance::applyLease(const wire::LeaseGrant &lease, TimePoint sentAt)
{
    // A late lease could name keys whose release the controllers have recorded since.
    if (!m_current || lease.incarnation() != m_current->name || lease.sequence() < m_leaseSequence) {
        return;
    }
    m_leaseSequence = lease.sequence();
    std::vector<KeyRow> rows;
    for (const auto &it : lease.rows()) {
        rows.push_back(fromWire(it));
    }
    const bool changed = rows != m_leasedRows;
    m_leasedRows = std::move(rows);
    m_leaseExpiry = std::max(m_leaseExpiry, sentAt + milliseconds(lease.duration_ms()));
    if (m_isFirstIncarnation && grantsByCall()) {
        const auto longest = std::chrono::duration_cast<Duration>(milliseconds(lease.duration_ms()) * (1 + kLeaseDrift));
        m_callGrants.setEarlierGrantsEnd(m_createdAt + longest);
    }
    if (changed) {
        answerPending();
        updateCallGrants();
    }
}

bool LocalInstance::grantsByCall() const
{
    return m_policy.keyed && m_policy.grantWay == GrantWay::Call;
}

void LocalInstance::updateCallGrants()
{
    if (m_current && grantsByCall()) {
        m_callGrants.setRows(rowsToHold(), m_leaseExpiry);
    }
}

const CallGrants &LocalInstance::callGrants() const
{
    return m_callGrants;
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
    if (!m_current || !m_policy.keyed || grantsByCall()) {
        return std::nullopt;
    }
    const auto hold = holdTimeFor(m_leaseExpiry - m_loop.clock().now());
    return hold ? std::optional(HeartbeatAnswer{ rowsToHold(), *hold }) : std::nullopt;
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
    const auto rows = rowsToHold();
    const bool leased = m_loop.clock().now() < m_leaseExpiry
        && std::any_of(rows.begin(), rows.end(), [key](const KeyRow &it) { return it.range.contains(key); });
    return leased && (holdsByHeartbeatAnswer(key) || m_callGrants.holds(key));
}

bool LocalInstance::holdsByHeartbeatAnswer(std::uint32_t key) const
{
    return m_loop.clock().now() < m_sentRowsExpiry
        && std::any_of(m_sentRows.begin(), m_sentRows.end(), [key](const KeyRow &it) { return it.range.contains(key); });
}

bool LocalInstance::mayDelayAnswer(const Heartbeat &it) const
{
    if (!m_policy.keyed || grantsByCall() || it.draining || m_leaving || !it.released.empty()) {
        return false;
    }
    // If the backend server holds keys that it is to release, or lacks some, it must be notified at once.
    const auto rows = rowsToHold();
    const auto same = [](const HeldKeys &a, const KeyRow &b) { return a.range == b.range && a.fencingToken == b.fencingToken; };
    return std::equal(it.holds.begin(), it.holds.end(), rows.begin(), rows.end(), same);
}

} // namespace Toucandeck
