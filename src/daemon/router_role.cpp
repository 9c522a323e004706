#include "daemon/router_role.h"

#include "daemon/events.h"
#include "ownership/lease.h"
#include "state/view.h"

namespace Toucandeck
{

namespace
{

/// Load and hot keys are sent with each renewal, so there is no use in computing them more often.
constexpr Duration kLoadInterval = kRenewInterval;

/// Status of the answer to an announcement or withdrawal that is refused.
int statusOf(ErrorCode code)
{
    return code == ErrorCode::Conflict ? 409 : 400;
}

HttpResponse textResponse(int status, const std::string &text)
{
    return { status, { { "Content-Type", "text/plain; charset=utf-8" }, { "Toucandeck-Verdict", "not-run" } }, text + "\n" };
}

} // namespace

/// State that a restart of the role recreates.
struct RouterRole::Core
{
    ControllerLinks links;
    BackendPresence presence;
    RouterAgent agent;
    RequestExecutor executor;
    RequestRouter router;
    RecordTransfer transfer;

    Core(RouterRole &role, const RouterParts &parts, const wire::RouterSession &description)
        : links(parts.messages, parts.settings.controllers)
        , presence(parts.loop.clock(), parts.settings.service)
        , agent({ parts.loop.clock(), parts.random, links, role, parts.logger }, description)
        , executor(parts, agent, presence, [&role] { role.onBackendLost("refused connection"); })
        , router(parts, agent, executor)
        , transfer(parts, agent, executor)
    {
    }
};

RouterRole::RouterRole(const RouterParts &parts)
    : m_parts(parts)
    , m_inFlightGauge(parts.metrics.gauge("toucandeck_backend_in_flight", "Slots of the backend server in use."))
    , m_queuedGauge(parts.metrics.gauge("toucandeck_backend_queued", "Requests that wait for a slot."))
    , m_partitionsGauge(parts.metrics.gauge("toucandeck_owned_partitions", "Partitions that this router owns in its view."))
    , m_viewVersionGauge(parts.metrics.gauge("toucandeck_view_version", "Log index of the last change applied."))
    , m_hasLeaseGauge(parts.metrics.gauge("toucandeck_has_lease", "1 while this router holds a lease, otherwise 0."))
    , m_lostLeaseCounter(parts.metrics.counter("toucandeck_leases_lost_total", "Leases that ended without a renewal."))
{
}

RouterRole::~RouterRole()
{
    abort();
}

std::string RouterRole::name() const
{
    return "router";
}

Result<void> RouterRole::start(FailureHandler /*onFailure*/)
{
    m_core = std::make_unique<Core>(*this, m_parts, sessionDescription());
    m_tickTimer = m_parts.loop.every(kOwnershipTick, [this] { tick(); });
    m_core->agent.tick();
    return {};
}

void RouterRole::stop(std::function<void()> done)
{
    abort();
    done();
}

void RouterRole::abort()
{
    m_tickTimer.cancel();
    m_pendingWithdrawals.clear();
    m_core.reset();
}

wire::RouterSession RouterRole::sessionDescription() const
{
    const auto &settings = m_parts.settings;
    wire::RouterSession session;
    session.set_failure_domain(settings.failureDomain);
    session.set_instance(settings.process);
    session.set_message_address(m_parts.messages.address());
    session.set_http_address(settings.httpAddress);
    session.set_public_key(m_parts.messages.publicKey());
    if (m_core && m_core->presence.latestAnnouncement()) {
        const auto &backend = *m_core->presence.latestAnnouncement();
        session.set_service(backend.service);
        session.set_instance(backend.instance);
        session.set_fenced(backend.fenced);
        session.set_cold(backend.cold);
        session.set_backend_ready(m_core->presence.state() == BackendPresence::State::Present);
    }
    return session;
}

void RouterRole::tick()
{
    auto &core = *m_core;
    if (core.presence.checkAnnouncementTimeout()) {
        onBackendLost("missed announcements");
    }
    const auto now = m_parts.loop.clock().now();
    if (now - m_lastLoadTime >= kLoadInterval) {
        m_lastLoadTime = now;
        core.agent.setLoad(core.executor.load());
        core.executor.updateLimits();
        updateGauges();
    }
    core.agent.tick();
    core.transfer.tick();
    core.executor.poll();
    core.router.onViewChanged();
    answerWithdrawals();
    if (m_onLeaveDone && core.agent.isClosed() && core.executor.isIdle()) {
        m_parts.loop.runSoon(std::exchange(m_onLeaveDone, nullptr));
    }
}

void RouterRole::receive(const wire::Envelope &envelope)
{
    if (!m_core) {
        return;
    }
    auto &core = *m_core;
    switch (envelope.body_case()) {
    case wire::Envelope::kForwardRequest:
        core.executor.execute({ envelope.sender(), envelope.forward_request().request() },
                              envelope.forward_request(),
                              [this, sender = envelope.sender()](wire::ForwardReply reply) {
                                  wire::Envelope answer;
                                  *answer.mutable_forward_reply() = std::move(reply);
                                  m_parts.messages.send(sender, std::move(answer));
                              });
        break;
    case wire::Envelope::kForwardReply:
        core.router.receive(envelope.forward_reply());
        break;
    case wire::Envelope::kCancel:
        core.executor.cancel({ envelope.sender(), envelope.cancel().request() });
        break;
    case wire::Envelope::kTransferRecords:
        core.transfer.receive(envelope.sender(), envelope.transfer_records());
        break;
    case wire::Envelope::kTransferAck:
        core.transfer.receive(envelope.transfer_ack());
        break;
    default:
        core.agent.receive(envelope);
        core.router.onViewChanged();
        break;
    }
}

void RouterRole::handleHttp(const std::shared_ptr<HttpExchange> &exchange)
{
    if (!m_core) {
        exchange->respond(textResponse(503, "the router is restarting"));
    } else if (exchange->request().path() != "/toucandeck/announce") {
        m_core->router.handle(exchange);
    } else if (!isFromLocalBackend(*exchange)) {
        exchange->respond(textResponse(403, "only the backend server on the same VM may announce itself"));
    } else if (exchange->request().method == "POST") {
        handleAnnouncement(exchange);
    } else if (exchange->request().method == "DELETE") {
        handleWithdrawal(exchange);
    } else {
        exchange->respond(textResponse(405, "use POST or DELETE"));
    }
}

bool RouterRole::isFromLocalBackend(const HttpExchange &exchange) const
{
    const auto own = m_parts.settings.httpAddress.substr(0, m_parts.settings.httpAddress.rfind(':'));
    return exchange.peer() == own || exchange.peer().starts_with("127.");
}

void RouterRole::handleAnnouncement(const std::shared_ptr<HttpExchange> &exchange)
{
    auto &presence = m_core->presence;
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(announcement, parseAnnouncement(exchange->request().body));
            BOOST_LEAF_CHECK(presence.checkSender(announcement));
            const bool first = presence.state() != BackendPresence::State::Present;
            const auto text = announcement.service + "/" + announcement.instance;
            if (presence.onAnnounced(std::move(announcement))) {
                onBackendChanged();
            }
            if (first) {
                m_parts.logger.write(Events::kBackendAnnounced,
                                     { field("instance", text), field("address", presence.latestAnnouncement()->address) });
            }
            exchange->respond(textResponse(200, "ok"));
            return {};
        },
        [&](const Error &error) { refuseAnnouncement(*exchange, error); });
}

void RouterRole::refuseAnnouncement(HttpExchange &exchange, const Error &error)
{
    m_parts.logger.write(Events::kAnnouncementRefused, { field("reason", error.message) });
    exchange.respond(textResponse(statusOf(error.code), error.message));
}

void RouterRole::onBackendChanged()
{
    auto &core = *m_core;
    core.agent.setDescription(sessionDescription());
    const auto &latest = core.presence.latestAnnouncement();
    core.agent.setBackend(core.presence.state() == BackendPresence::State::Present, latest && latest->cold);
    core.executor.updateLimits();
}

void RouterRole::onBackendLost(const char *reason)
{
    auto &core = *m_core;
    core.presence.markAbsent();
    if (const auto &backend = core.presence.latestAnnouncement()) {
        m_parts.logger.write(Events::kBackendLost, { field("instance", backend->instance), field("reason", reason) });
        core.agent.setBackend(false, backend->cold);
    }
}

void RouterRole::handleWithdrawal(const std::shared_ptr<HttpExchange> &exchange)
{
    handleError(
        [&]() -> Result<void> {
            // A body is not needed; one that is there must be of the backend server.
            if (!exchange->request().body.empty()) {
                BOOST_LEAF_AUTO(announcement, parseAnnouncement(exchange->request().body));
                BOOST_LEAF_CHECK(m_core->presence.checkSender(announcement));
            }
            withdraw(exchange);
            return {};
        },
        [&](const Error &error) { refuseAnnouncement(*exchange, error); });
}

void RouterRole::withdraw(const std::shared_ptr<HttpExchange> &exchange)
{
    if (!m_core->presence.onWithdrawn()) {
        exchange->respond(textResponse(404, "no backend server is announced"));
        return;
    }
    m_parts.logger.write(Events::kBackendLeaving, { field("instance", m_core->presence.latestAnnouncement()->instance) });
    m_core->agent.setBackend(false, m_core->presence.latestAnnouncement()->cold);
    m_pendingWithdrawals.push_back(exchange);
}

bool RouterRole::isDrained() const
{
    return m_core->executor.isIdle() && m_core->agent.view().partitionsOf(m_core->agent.session()).empty();
}

void RouterRole::answerWithdrawals()
{
    if (!m_pendingWithdrawals.empty() && isDrained()) {
        m_core->presence.onDrained();
        for (const auto &it : std::exchange(m_pendingWithdrawals, {})) {
            it->respond(textResponse(200, "the backend server is drained"));
        }
    }
}

void RouterRole::leave(std::function<void()> done)
{
    if (!m_core) {
        done();
        return;
    }
    m_onLeaveDone = std::move(done);
    m_core->agent.close();
}

void RouterRole::answerPending()
{
    if (m_core) {
        m_core->router.answerPending();
    }
}

bool RouterRole::isReady()
{
    return m_core && !m_onLeaveDone && m_core->agent.leaseEnd() && m_core->agent.view().version() != LogIndex{};
}

void RouterRole::onLimitsChanged()
{
    if (m_core) {
        m_core->executor.updateLimits();
    }
}

void RouterRole::updateGauges()
{
    const auto &core = *m_core;
    m_inFlightGauge.Set(core.executor.admission().inFlight());
    m_queuedGauge.Set(static_cast<double>(core.executor.admission().queueSize()));
    m_partitionsGauge.Set(static_cast<double>(core.agent.view().partitionsOf(core.agent.session()).size()));
    m_viewVersionGauge.Set(static_cast<double>(core.agent.view().version().value));
    m_hasLeaseGauge.Set(m_core->agent.leaseEnd() ? 1 : 0);
}

void RouterRole::onLeaseLost()
{
    m_lostLeaseCounter.Increment();
    m_parts.logger.write(Events::kLeaseLost, { field("in_flight", m_core ? m_core->executor.admission().inFlight() : 0) });
    if (m_core) {
        m_core->transfer.onLeaseLost();
        m_core->executor.onLeaseLost();
    }
}

void RouterRole::beginRelease(const OwnedItems &items, SessionId receiver)
{
    m_core->transfer.beginRelease(items, receiver);
}

void RouterRole::cancelRelease(const OwnedItems &items)
{
    m_core->transfer.cancelRelease(items);
}

} // namespace Toucandeck
