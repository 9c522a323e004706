#include "ownership/agent_core.h"

#include "common/assert.h"
#include "ownership/events.h"
#include "ownership/lease.h"

#include <algorithm>

namespace Toucandeck::internal
{

namespace
{

/// Time after which a graceful shutdown stops waiting for moves: without another instance to receive the partitions, they stay.
constexpr Duration kCloseTimeout = 3s;

} // namespace

AgentCore::AgentCore(const AgentParts &parts, const wire::RouterSession &description)
    : m_parts(parts)
    , m_description(description)
{
    startSession();
}

void AgentCore::startSession()
{
    do {
        m_candidateSession = SessionId{ m_parts.random.next() };
    } while (!m_candidateSession);
    m_session = SessionId();
    m_lease.reset();
    m_releases.clear();
    m_registerSent = false;
    m_wasInView = false;
    m_renewOnViewChange = false;
    m_roundAnswered = true;
    m_closeSent = false;
}

void AgentCore::endSession()
{
    if (m_hadLease) {
        m_hadLease = false;
        m_parts.logger.write(OwnershipEvents::kLeaseLost, { field("session", m_session.value) });
        m_parts.listener.onLeaseLost();
    }
    startSession();
    m_closed = m_closeStart.has_value();
}

/// Returns whether the lease is valid now.
bool AgentCore::checkLease()
{
    const bool valid = m_lease.isValid(m_parts.clock.now());
    if (m_hadLease && !valid) {
        m_hadLease = false;
        m_parts.logger.write(OwnershipEvents::kLeaseLost, { field("session", m_session.value) });
        m_parts.listener.onLeaseLost();
    }
    return valid;
}

std::optional<Admission> AgentCore::admit(std::string_view service, KeyHash key)
{
    if (!checkLease() || m_closeSent || service != m_description.service() || !m_leaveDeadline.admits(m_parts.clock.now())) {
        return std::nullopt;
    }
    const auto owner = m_view.ownerOf(service, key);
    if (!owner || owner->session != m_session || owner->isMoving()) {
        return std::nullopt;
    }
    Admission admission;
    admission.partition = owner->partition;
    if (owner->hotKey) {
        admission.hotKey = key;
    }
    admission.epoch = owner->epoch;
    admission.leaseEnd = m_lease.end();
    admission.crashGrantTime = owner->crashGrantTime;
    // Checked again as the last step, because the process may have been paused since the first check.
    if (!checkLease()) {
        return std::nullopt;
    }
    return admission;
}

std::optional<TimePoint> AgentCore::mayServeUnkeyed()
{
    if (!checkLease() || m_closeStart || !m_description.backend_ready() || !isServing()) {
        return std::nullopt;
    }
    return m_lease.end();
}

void AgentCore::completeRelease(const OwnedItems &items)
{
    checkLease();
    if (items.service != m_description.service() || !m_session) {
        return;
    }
    m_releases.markReleased(items);
    sendReleases(false);
}

void AgentCore::setBackend(bool ready, bool cold)
{
    checkLease();
    if (m_description.backend_ready() == ready && m_description.cold() == cold) {
        return;
    }
    m_description.set_backend_ready(ready);
    m_description.set_cold(cold);
    renewNow();
}

void AgentCore::setDescription(const wire::RouterSession &description)
{
    checkLease();
    const bool sameInstance = description.service() == m_description.service() && description.instance() == m_description.instance()
        && description.failure_domain() == m_description.failure_domain();
    const auto oldSession = m_session;
    m_description = description;
    if (sameInstance) {
        if (oldSession && !isDescriptionCurrent()) {
            sendRegister(false);
        }
        return;
    }
    if (oldSession) {
        // Another instance needs another session. This router admits nothing under the old one any more.
        endSession();
        wire::Envelope envelope;
        envelope.mutable_close()->set_session(oldSession.value);
        send(envelope, false);
    }
}

void AgentCore::setLoad(AgentLoad load)
{
    m_load = std::move(load);
}

void AgentCore::close()
{
    checkLease();
    if (m_closeStart) {
        return;
    }
    m_closeStart = m_parts.clock.now();
    m_closed = !m_session && !m_registerSent;
    renewNow();
}

bool AgentCore::isClosed() const
{
    return m_closed;
}

const View &AgentCore::view() const
{
    return m_view;
}

SessionId AgentCore::session() const
{
    return m_session;
}

std::optional<TimePoint> AgentCore::leaseEnd()
{
    return checkLease() ? std::optional(m_lease.end()) : std::nullopt;
}

void AgentCore::onViewChanged(LogIndex before)
{
    if (!m_view.version()) {
        return;
    }
    TOUCANDECK_ASSERT(m_view.version() >= before, "versions only grow");
    if (m_session && m_view.session(m_session) == nullptr) {
        if (m_wasInView) {
            m_parts.logger.write(OwnershipEvents::kSessionEnded, { field("session", m_session.value) });
            endSession();
        }
        return;
    }
    if (m_session && (!m_wasInView || m_renewOnViewChange)) {
        m_wasInView = true;
        m_renewOnViewChange = false;
        renewNow();
    }
    updateLeaveDeadline(before);
    updateReleases();
}

void AgentCore::updateReleases()
{
    if (!m_session) {
        return;
    }
    const auto changes = m_releases.update(m_view, m_description.service(), m_session);
    for (const auto &it : changes.cancelledMoves) {
        m_parts.listener.cancelRelease(it.items);
    }
    for (const auto &it : changes.startedMoves) {
        m_parts.listener.beginRelease(it.items, it.receiver);
    }
}

void AgentCore::updateLeaveDeadline(LogIndex before)
{
    m_leaveDeadline.update(isServing(), before, m_parts.clock.now());
}

bool AgentCore::isServing() const
{
    const auto &row = m_view.effectiveRow(m_description.service(), m_description.failure_domain(), m_description.instance());
    return row.stateAt(m_parts.clock.wallNow()) == wire::SERVING;
}

/// Whether the view shows the current description of this router, or does not show its session.
bool AgentCore::isDescriptionCurrent() const
{
    const auto *known = m_view.session(m_session);
    return known == nullptr
        || (known->message_address() == m_description.message_address() && known->http_address() == m_description.http_address()
            && known->public_key() == m_description.public_key() && known->fenced() == m_description.fenced());
}

/// Whether the controllers know that the backend server is not ready, and nothing is left to hand over.
bool AgentCore::ownsNothing() const
{
    const auto *known = m_view.session(m_session);
    if (known != nullptr && known->backend_ready()) {
        return false;
    }
    const auto involvesThisRouter = [this](const auto &it) { return it.owner() == m_session.value || it.moving_to() == m_session.value; };
    const auto assignments = m_view.assignments(m_description.service());
    const auto &hotKeys = m_view.hotKeys(m_description.service());
    return std::none_of(assignments.begin(), assignments.end(), involvesThisRouter)
        && std::none_of(hotKeys.begin(), hotKeys.end(), [&](const auto &it) { return involvesThisRouter(it.second); });
}

void AgentCore::closeWhenDue()
{
    const auto now = m_parts.clock.now();
    const bool timedOut = now - *m_closeStart >= kCloseTimeout;
    if (!m_closeSent && m_load.inFlight == 0 && (ownsNothing() || timedOut)) {
        m_closeSent = true;
        sendClose();
    } else if (m_closeSent && now - m_lastSendTime >= kRenewTimeout) {
        sendClose();
    }
}

} // namespace Toucandeck::internal
