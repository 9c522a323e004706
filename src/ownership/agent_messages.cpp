// Messages from and to controllers.
#include "ownership/agent_core.h"

#include "ownership/events.h"
#include "ownership/lease.h"

namespace Toucandeck::internal
{

AgentCore::Handler AgentCore::handlerOf(wire::Envelope::BodyCase body)
{
    switch (body) {
    case wire::Envelope::kRegistered:
        return &AgentCore::handleRegistered;
    case wire::Envelope::kRenewed:
        return &AgentCore::handleRenewed;
    case wire::Envelope::kSessionEnded:
        return &AgentCore::handleSessionEnded;
    case wire::Envelope::kNotLeader:
        return &AgentCore::handleNotLeader;
    case wire::Envelope::kDeltas:
        return &AgentCore::handleDeltas;
    case wire::Envelope::kFullView:
        return &AgentCore::handleFullView;
    default:
        return nullptr;
    }
}

void AgentCore::receive(const wire::Envelope &envelope)
{
    checkLease();
    if (const auto handler = handlerOf(envelope.body_case())) {
        (this->*handler)(envelope);
    }
}

void AgentCore::handleRegistered(const wire::Envelope &envelope)
{
    if (m_session || SessionId{ envelope.registered().session() } != m_candidateSession || m_closed) {
        return;
    }
    m_session = m_candidateSession;
    m_leader = m_parts.controllers.indexOf(envelope.sender());
    m_parts.logger.write(OwnershipEvents::kRegistered, { field("session", m_session.value) });
    sendFetchView();
}

void AgentCore::handleRenewed(const wire::Envelope &envelope)
{
    const auto &renewed = envelope.renewed();
    if (!m_session || SessionId{ renewed.session() } != m_session) {
        return;
    }
    if (const auto leader = m_parts.controllers.indexOf(envelope.sender())) {
        m_leader = leader;
    }
    const auto now = m_parts.clock.now();
    if (const auto sendTime = m_lease.sendTimeOf(renewed.sequence())) {
        m_leaveDeadline.recordLeaderVersion(LogIndex{ renewed.version() }, *sendTime);
    }
    m_roundAnswered = m_roundAnswered || renewed.sequence() >= m_roundSequence;
    if (renewed.extended()) {
        m_lease.onGranted(renewed.sequence(), std::chrono::milliseconds(renewed.lease_ms()), now);
        m_hadLease = m_lease.isValid(now);
    } else {
        m_renewOnViewChange = true;
        sendFetchView();
    }
}

void AgentCore::handleSessionEnded(const wire::Envelope &envelope)
{
    const SessionId ended{ envelope.session_ended().session() };
    if (!m_session || ended != m_session) {
        return;
    }
    if (m_closeSent) {
        m_parts.logger.write(OwnershipEvents::kSessionClosed, { field("session", ended.value) });
    } else {
        m_parts.logger.write(OwnershipEvents::kSessionEnded, { field("session", ended.value) });
    }
    endSession();
}

void AgentCore::handleNotLeader(const wire::Envelope &envelope)
{
    const auto leader = m_parts.controllers.indexOf(envelope.not_leader().leader_address());
    const bool isOtherLeader = leader && leader != m_leader;
    if (leader) {
        m_leader = leader;
    } else if (m_leader && m_leader == m_parts.controllers.indexOf(envelope.sender())) {
        m_leader.reset();
    }
    // The minimum interval prevents an endless exchange with two controllers that each name the other as leader.
    if (!isOtherLeader || m_closed || m_parts.clock.now() - m_lastSendTime < kOwnershipTick) {
        return;
    }
    if (!m_session && m_registerSent) {
        sendRegister(false);
    } else if (m_session && !m_roundAnswered && !m_closeSent) {
        sendRenew(false);
    }
}

void AgentCore::handleDeltas(const wire::Envelope &envelope)
{
    const auto before = m_view.version();
    bool isComplete = true;
    for (const auto &it : envelope.deltas().deltas()) {
        if (it.to_version() <= m_view.version().value) {
            continue;
        }
        if (!m_view.applyDelta(it)) {
            m_parts.logger.write(OwnershipEvents::kViewGap, { field("version", m_view.version().value) });
            isComplete = false;
            sendFetchView();
            break;
        }
    }
    m_fetchPending = m_fetchPending && !isComplete;
    if (m_view.version() > before) {
        onViewChanged(before);
    }
}

void AgentCore::handleFullView(const wire::Envelope &envelope)
{
    const auto before = m_view.version();
    if (envelope.full_view().view().version() < before.value) {
        return;
    }
    if (m_view.applySnapshot(envelope.full_view().view())) {
        m_fetchPending = false;
        onViewChanged(before);
    }
}

void AgentCore::tick()
{
    checkLease();
    if (m_closed) {
        return;
    }
    const auto now = m_parts.clock.now();
    if (!m_session) {
        registerWhenDue();
        return;
    }
    if (m_closeStart) {
        closeWhenDue();
    }
    if (!m_closeSent) {
        renewWhenDue();
    }
    if (m_fetchPending && now - m_lastFetchTime >= kRenewTimeout) {
        sendFetchView();
    }
    if (now - m_lastReleaseTime >= kRenewTimeout) {
        sendReleases(true);
    }
    if (m_view.version()) {
        updateLeaveDeadline(m_view.version());
    }
}

void AgentCore::registerWhenDue()
{
    if (m_closeStart) {
        // No registration was acknowledged; a session that is opened later expires without renewals.
        m_closed = true;
        return;
    }
    const auto interval = m_registerSent ? kRenewInterval : Duration::zero();
    if (m_parts.clock.now() - m_lastSendTime >= interval) {
        sendRegister(m_registerSent);
        m_registerSent = true;
    }
}

void AgentCore::renewWhenDue()
{
    const auto now = m_parts.clock.now();
    if (m_roundAnswered && now - m_roundStart >= kRenewInterval) {
        renewNow();
        if (!isDescriptionCurrent()) {
            sendRegister(false);
        }
    } else if (!m_roundAnswered && now - m_lastSendTime >= kRenewTimeout) {
        sendRenew(true);
    }
}

void AgentCore::renewNow()
{
    if (!m_session || m_closeSent) {
        return;
    }
    m_roundStart = m_parts.clock.now();
    m_roundAnswered = false;
    m_roundSequence = sendRenew(false);
}

void AgentCore::sendRegister(bool toAll)
{
    wire::Envelope envelope;
    auto &session = *envelope.mutable_register_session()->mutable_session();
    session = m_description;
    session.set_session(m_candidateSession.value);
    session.set_backend_ready(m_description.backend_ready() && !m_closeStart);
    if (!m_session) {
        m_lastSendTime = m_parts.clock.now();
    }
    send(envelope, toAll);
}

std::uint64_t AgentCore::sendRenew(bool toAll)
{
    const auto now = m_parts.clock.now();
    wire::Envelope envelope;
    auto &renew = *envelope.mutable_renew();
    renew.set_session(m_session.value);
    renew.set_sequence(m_lease.recordRenewal(now));
    renew.set_version(m_view.version().value);
    renew.set_digest(m_view.digest());
    renew.set_in_flight(m_load.inFlight);
    renew.set_load_permille(m_load.loadPermille);
    renew.set_backend_ready(m_description.backend_ready() && !m_closeStart);
    renew.set_cold(m_description.cold());
    renew.mutable_hot_keys()->Assign(m_load.hotKeys.begin(), m_load.hotKeys.end());
    m_lastSendTime = now;
    send(envelope, toAll);
    return renew.sequence();
}

void AgentCore::sendClose()
{
    wire::Envelope envelope;
    envelope.mutable_close()->set_session(m_session.value);
    m_lastSendTime = m_parts.clock.now();
    send(envelope, true);
}

void AgentCore::sendFetchView()
{
    const auto now = m_parts.clock.now();
    if (m_fetchPending && now - m_lastFetchTime < kRenewTimeout) {
        return;
    }
    m_fetchPending = true;
    m_lastFetchTime = now;
    wire::Envelope envelope;
    envelope.mutable_fetch_view()->set_session((m_session ? m_session : m_candidateSession).value);
    envelope.mutable_fetch_view()->set_version(m_view.version().value);
    send(envelope, false);
}

void AgentCore::sendReleases(bool toAll)
{
    m_lastReleaseTime = m_parts.clock.now();
    for (const auto &it : m_releases.releasedGroups(m_description.service())) {
        wire::Envelope envelope;
        auto &release = *envelope.mutable_release();
        release.set_session(m_session.value);
        release.set_service(it.items.service);
        release.set_receiver(it.receiver.value);
        release.set_version(m_view.version().value);
        for (const auto partition : it.items.partitions) {
            release.add_partitions(partition.value);
        }
        for (const auto key : it.items.hotKeys) {
            release.add_hot_keys(key.value);
        }
        send(envelope, toAll);
    }
}

void AgentCore::send(const wire::Envelope &envelope, bool toAll)
{
    if (m_leader && !toAll) {
        m_parts.controllers.sendTo(*m_leader, envelope);
    } else {
        m_parts.controllers.sendToAll(envelope);
    }
}

} // namespace Toucandeck::internal
