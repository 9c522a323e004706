// Messages from routers.
#include "ownership/coordinator_core.h"

#include "ownership/events.h"
#include "ownership/lease.h"

namespace Toucandeck::internal
{

CoordinatorCore::Handler CoordinatorCore::handlerOf(wire::Envelope::BodyCase body)
{
    switch (body) {
    case wire::Envelope::kRegisterSession:
        return &CoordinatorCore::handleRegister;
    case wire::Envelope::kRenew:
        return &CoordinatorCore::handleRenew;
    case wire::Envelope::kRelease:
        return &CoordinatorCore::handleRelease;
    case wire::Envelope::kClose:
        return &CoordinatorCore::handleClose;
    case wire::Envelope::kFetchView:
        return &CoordinatorCore::handleFetchView;
    default:
        return nullptr;
    }
}

void CoordinatorCore::receive(const std::string &sender, const wire::Envelope &envelope)
{
    const auto handler = handlerOf(envelope.body_case());
    if (handler == nullptr) {
        return;
    }
    if (!m_leading) {
        wire::Envelope reply;
        reply.mutable_not_leader()->set_leader_address(m_context.parts.leadership.leaderAddress());
        m_context.parts.routers.sendToAddress(sender, reply);
        return;
    }
    // See the class comment. A deposed leader must not report a session as unknown either: it may have missed the registration.
    if (m_context.parts.leadership.isConfirmedLeader()) {
        (this->*handler)(sender, envelope);
    }
}

void CoordinatorCore::handleRegister(const std::string & /*sender*/, const wire::Envelope &envelope)
{
    auto session = envelope.register_session().session();
    const SessionId id{ session.session() };
    const auto *record = m_context.find(id);
    // Renewals report newer values of backend_ready and cold than a repeated Register.
    if (record != nullptr) {
        session.set_registered_after(record->session.registered_after());
        session.set_backend_ready(record->session.backend_ready());
        session.set_cold(record->session.cold());
        if (session.SerializeAsString() == record->session.SerializeAsString()) {
            sendRegistered(id);
            return;
        }
    } else {
        // A repeated Register may reopen a session that has ended: the view of its router must then include the end before it gets a
        // lease.
        session.set_registered_after(m_context.view().version().value);
    }
    if (id && (record == nullptr || m_context.isLive(id))) {
        registerSession(std::move(session));
    }
}

void CoordinatorCore::registerSession(wire::RouterSession session)
{
    const SessionId id{ session.session() };
    if (!m_registering.insert(id).second) {
        return;
    }
    wire::Command command;
    *command.mutable_register_session()->mutable_session() = std::move(session);
    m_context.propose(command, [this, id](const CommandAnswer *answer) {
        m_registering.erase(id);
        if (answer != nullptr && answer->registration && answer->registration->accepted) {
            sendRegistered(id);
        }
    });
}

void CoordinatorCore::sendRegistered(SessionId session)
{
    wire::Envelope reply;
    reply.mutable_registered()->set_session(session.value);
    m_context.parts.routers.sendToSession(session, reply);
}

void CoordinatorCore::sendSessionEnded(const std::string &address, SessionId session)
{
    wire::Envelope reply;
    reply.mutable_session_ended()->set_session(session.value);
    m_context.parts.routers.sendToAddress(address, reply);
}

void CoordinatorCore::handleRenew(const std::string &sender, const wire::Envelope &envelope)
{
    const auto &renew = envelope.renew();
    auto *record = m_context.find(SessionId{ renew.session() });
    if (record == nullptr) {
        sendSessionEnded(sender, SessionId{ renew.session() });
        return;
    }
    if (record->expiryProposed || record->closeProposed) {
        return;
    }
    const bool extended = mayExtend(*record, renew);
    if (extended) {
        m_context.leases.renew(SessionId{ renew.session() }, m_context.now());
        record->lastExtension = m_context.now();
    }
    sendRenewed(*record, renew, extended);
    if (renew.sequence() > record->lastSequence) {
        recordRenewal(*record, renew);
    }
}

bool CoordinatorCore::mayExtend(const SessionRecord &record, const wire::Renew &renew)
{
    const LogIndex version{ renew.version() };
    if (version < m_commitTimes.requiredVersion(m_context.now()) || version.value < record.session.registered_after()) {
        m_context.parts.logger.write(OwnershipEvents::kLeaseRefused,
                                     { field("session", renew.session()), field("version", version.value) });
        return false;
    }
    return m_publisher.digestMatches(version, renew.digest());
}

void CoordinatorCore::sendRenewed(SessionRecord &record, const wire::Renew &renew, bool extended)
{
    wire::Envelope reply;
    auto &renewed = *reply.mutable_renewed();
    renewed.set_session(renew.session());
    renewed.set_sequence(renew.sequence());
    renewed.set_extended(extended);
    renewed.set_lease_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(kLeaseTtl).count()));
    renewed.set_version(m_context.view().version().value);
    m_context.parts.routers.sendToSession(SessionId{ record.session.session() }, reply);
}

void CoordinatorCore::recordRenewal(SessionRecord &record, const wire::Renew &renew)
{
    record.lastRenewal = m_context.now();
    record.lastSequence = renew.sequence();
    record.reportedVersion = LogIndex{ renew.version() };
    record.inFlight = renew.in_flight();
    record.loadPermille = renew.load_permille();
    record.hotKeys.assign(renew.hot_keys().begin(), renew.hot_keys().end());
    if (!m_publisher.digestMatches(record.reportedVersion, renew.digest())) {
        m_context.parts.logger.write(OwnershipEvents::kDigestMismatch,
                                     { field("session", renew.session()), field("version", renew.version()) });
        m_publisher.sendFullView(record);
    }
    m_publisher.resendIfBehind(record, record.reportedVersion);
    updateFlags(record, renew);
}

void CoordinatorCore::updateFlags(SessionRecord &record, const wire::Renew &renew)
{
    auto session = record.session;
    if (record.updateProposed || (session.backend_ready() == renew.backend_ready() && session.cold() == renew.cold())) {
        return;
    }
    session.set_backend_ready(renew.backend_ready());
    session.set_cold(renew.cold());
    record.updateProposed = true;
    wire::Command command;
    *command.mutable_register_session()->mutable_session() = std::move(session);
    m_context.propose(command, [this, id = SessionId{ renew.session() }](const CommandAnswer *) {
        if (auto *current = m_context.find(id)) {
            current->updateProposed = false;
        }
    });
}

void CoordinatorCore::handleRelease(const std::string & /*sender*/, const wire::Envelope &envelope)
{
    if (m_context.isLive(SessionId{ envelope.release().session() })) {
        m_grants.handleRelease(envelope.release());
        m_hotKeys.handleRelease(envelope.release());
    }
}

void CoordinatorCore::handleClose(const std::string &sender, const wire::Envelope &envelope)
{
    const SessionId id{ envelope.close().session() };
    auto *record = m_context.find(id);
    if (record == nullptr) {
        sendSessionEnded(sender, id);
        return;
    }
    if (record->closeProposed || record->expiryProposed) {
        return;
    }
    record->closeProposed = true;
    m_context.leases.relinquish(id, m_context.now());
    wire::Command command;
    command.mutable_close_session()->set_session(id.value);
    m_context.propose(command, [](const CommandAnswer *) {});
}

void CoordinatorCore::handleFetchView(const std::string &sender, const wire::Envelope &envelope)
{
    const SessionId id{ envelope.fetch_view().session() };
    if (auto *record = m_context.find(id)) {
        m_publisher.sendSince(*record, LogIndex{ envelope.fetch_view().version() });
    } else {
        sendSessionEnded(sender, id);
    }
}

} // namespace Toucandeck::internal
