#include "gateway/gateway.h"

#include "gateway/events.h"

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kAdmissionInterval{ 20 }; ///< Interval of processing the admission queue while calls wait.
constexpr milliseconds kReportInterval{ 1000 };
constexpr milliseconds kInstanceCheckInterval{ 300 };
constexpr milliseconds kMaxHeartbeatDelay{ 600 }; ///< A backend server whose heartbeat is overdue by more than this is probed.
constexpr milliseconds kDrainInterval{ 50 };
/// After a request to stop, clients are still directed here for this time: two readiness checks must fail first.
constexpr milliseconds kClientDrainTime{ 2500 };
/// Requests that clients send later than this are refused: an answer could take longer than the time left to the gateway.
constexpr milliseconds kRefuseClientsAfter{ 3000 };
constexpr milliseconds kPeerDrainTime{ 1000 }; ///< Time after which the other gateways know that this one is shutting down.
/// No other backend server can run calls for the keys held on this VM, so they are accepted for as long as possible.
constexpr milliseconds kKeyedPeerDrainTime{ 2200 };
constexpr milliseconds kPeerCloseTime{ 1000 }; ///< After GoAway, peers are given this time to close their connections.
/// Requests without an answer this long before the end of a graceful stop fail, so that their clients get an answer.
constexpr milliseconds kFinalAnswerTime{ 250 };
constexpr milliseconds kMinIdleTime{ 150 }; ///< The drain is complete after this time without pending requests and calls.

std::unique_ptr<QueueOrder> queueOrder(AdmissionPolicy policy)
{
    if (policy == AdmissionPolicy::ServeLate) {
        return std::make_unique<FairUrgencyOrder>();
    }
    return std::make_unique<UrgencyOrder>();
}

} // namespace

Result<std::unique_ptr<Gateway>> Gateway::create(const GatewayParts &parts, GatewayOptions options)
{
    std::unique_ptr<Gateway> gateway(new Gateway(parts, std::move(options)));
    BOOST_LEAF_CHECK(gateway->listen());
    return gateway;
}

Gateway::Gateway(const GatewayParts &parts, GatewayOptions options)
    : m_parts(parts)
    , m_options(std::move(options))
    , m_links(
          parts.loop,
          parts.logger,
          SocketAddress{ m_options.ip, m_options.peerPort },
          [this](const std::string &peer, const wire::PeerMessage &message) { receive(peer, message); },
          [this](const std::string &peer, bool, const std::string &) { m_fleet.onPeerClosed(peer); })
    , m_view(parts.loop.clock(), parts.logger, parts.codec)
    , m_grantCaller(parts.loop, parts.grantCodec, m_options.backend, parts.headers.requestId)
    , m_instance(parts.loop,
                 parts.logger,
                 m_grantCaller,
                 BackendIdentity{ m_options.backend.toString(), m_options.service },
                 m_options.heartbeatInterval)
    , m_runner(parts.loop, parts.logger, parts.headers, m_options.backend)
    , m_order(queueOrder(m_options.admission))
    , m_parents(
          parts.loop.clock(), parts.logger, [this](const Call &call) { return kindOf(call); }, [this] { return m_instance.slots(); })
    , m_admission(parts.loop.clock(), parts.logger, m_instance, m_runner, *m_order, m_options.admission)
    , m_admissionReport(parts.logger, parts.metrics)
    , m_routingReport(parts.logger, parts.metrics)
    , m_calls(parts.loop, m_links, m_admission, m_options.ip)
    , m_router({ parts.loop, parts.logger, parts.random, m_calls, m_view, m_chooser, &m_referenceWork },
               m_options.failureDomain,
               m_options.retryShare,
               m_options.balancing,
               m_options.nestedCalls)
    , m_fleet(parts.loop, m_links, parts.logger, m_view, m_instance, m_options.ip, m_options.failureDomain, m_options.seeds)
    , m_requestHandler({ parts.loop, parts.logger, parts.random, parts.metrics, parts.headers, m_view, m_admission, m_router, parents() },
                       [this] { return m_instance.service().empty() ? m_options.service : m_instance.service(); })
{
    m_admission.setReferenceWork(&m_referenceWork);
    m_instance.setServiceLookup([this](const std::string &service) { return m_view.service(service); });
    m_grantCaller.setReadyHandler([this] { m_instance.updateCallGrants(); });
    m_instance.setStartHandler([this] { onInstanceStarted(); });
    m_instance.setChangeHandler([this] { onInstanceChanged(); });
    m_runner.setConnectionRefusedHandler([this] { m_instance.onConnectionRefused(); });
    m_admission.setSubmitHandler([this](const Call &call) {
        if (call.key) {
            m_instance.recordDemand(*call.key);
        }
        if (!m_admissionTimer.isActive()) {
            m_admissionTimer = m_parts.loop.after(kAdmissionInterval, [this] { processAdmissionQueue(); });
        }
    });
    if (parents() != nullptr) {
        m_admission.setStartGate([this](const Call &call, CallDone &done) { return m_parents.enter(call, done); });
    }
    m_view.setChangeHandler([this] { onViewChanged(); });
    m_reportTimer = parts.loop.every(kReportInterval, [this] {
        m_admissionReport.write(m_admission);
        m_routingReport.write(m_router);
    });
    m_instanceTimer = parts.loop.every(kInstanceCheckInterval, [this] { checkInstance(); });
}

Gateway::~Gateway() = default;

Result<void> Gateway::listen()
{
    BOOST_LEAF_ASSIGN(m_peers, PeerServer::create(m_parts.loop, m_admission, { m_options.ip, m_options.peerPort }));
    m_peers->setReportSource(
        [this](const std::string &service, const std::string &receiver) { return m_router.reportsFor(service, receiver); });
    BOOST_LEAF_ASSIGN(m_outbound,
                      PipelinedServer::create(
                          m_parts.loop,
                          m_options.outbound,
                          [this] { return httpLimits(); },
                          [this](const std::shared_ptr<HttpExchange> &exchange) { m_requestHandler.handle(exchange); },
                          m_options.requestMemory));
    return {};
}

HttpLimits Gateway::httpLimits() const
{
    const auto manifest = m_view.manifest();
    return manifest ? manifest->manifest.limits : HttpLimits{};
}

void Gateway::receive(const std::string &peer, const wire::PeerMessage &message)
{
    if (message.has_reply()) {
        m_calls.receive(message.reply());
    } else if (message.has_update()) {
        m_fleet.receive(peer, message.update());
    }
}

void Gateway::handleHeartbeat(const Heartbeat &it, LocalInstance::AnswerHandler answer, std::function<void()> unconfirmed)
{
    m_instance.handleHeartbeat(it, std::move(answer), std::move(unconfirmed));
    processAdmissionQueue();
}

InstanceVerdict Gateway::deregister(const DepartureNotice &notice, Departures::Done done)
{
    return m_instance.deregister(notice, std::move(done));
}

void Gateway::onUnreadableMessage(const std::string &instance, const std::string &error)
{
    ++m_unreadableMessages;
    m_parts.logger.write(GatewayEvents::kInstanceMessageUnreadable, { field("instance", instance), field("error", error) });
}

std::string Gateway::kindOf(const Call &call) const
{
    const auto manifest = m_view.manifest();
    const auto *route = manifest ? manifest->routes.find(call.request.header("Host").value_or(""), call.request.path()) : nullptr;
    return route != nullptr ? route->name : call.service;
}

ParentRequests *Gateway::parents()
{
    return m_options.nestedCalls == NestedCalls::Protected ? &m_parents : nullptr;
}

void Gateway::onInstanceStarted()
{
    m_runner.setInstance(m_instance.instance());
    m_runner.closeIdle();
    m_admission.onIncarnationStarted();
    applyPolicy();
    m_fleet.scheduleAnnouncement();
}

void Gateway::onInstanceChanged()
{
    m_fleet.scheduleAnnouncement();
    m_parts.loop.runSoon([this] { processAdmissionQueue(); });
}

void Gateway::onViewChanged()
{
    const auto manifest = m_view.manifest();
    if (manifest && manifest->manifest.version != m_manifestVersion) {
        m_manifestVersion = manifest->manifest.version;
        onManifestChanged(manifest->manifest);
    }
    applyPolicy();
    m_router.onViewChanged();
}

void Gateway::onManifestChanged(const Manifest &manifest)
{
    const auto isService = [&manifest](const std::string &service) { return manifest.services.count(service) != 0; };
    m_requestHandler.onManifestChanged(manifest);
    m_instance.onManifestChanged();
    m_router.retainServices(isService);
    m_referenceWork.retain(isService);
    m_parents.retain([&](const std::string &kind) { return manifest.routes.count(kind) != 0 || isService(kind); });
}

void Gateway::applyPolicy()
{
    InstancePolicy policy;
    policy.hasManifest = m_view.manifest() != nullptr;
    policy.evacuated = m_view.isEvacuated(m_options.failureDomain);
    if (const auto *service = m_view.service(m_instance.service())) {
        policy.keyed = service->keyed;
        policy.grantWay = service->grantWay;
        policy.coldRequestsPerSecond = service->coldRequestsPerSecond;
        policy.coldPeriod = service->coldPeriod;
    }
    m_instance.setPolicy(policy);
    processAdmissionQueue();
}

void Gateway::processAdmissionQueue()
{
    m_admission.processQueue();
    m_instance.setMeanServiceTime(m_admission.meanServiceTime());
    m_instance.setSpeed(m_admission.longTermSpeedPermille());
    if (m_admission.waitingCount() == 0) {
        m_admissionTimer.cancel();
        return;
    }
    if (m_admissionTimer.isActive()) {
        return;
    }
    Duration pause = kAdmissionInterval;
    if (const auto next = m_admission.nextDispatchTime()) {
        pause = std::clamp<Duration>(*next - m_parts.loop.clock().now(), milliseconds(1), kAdmissionInterval);
    }
    m_admissionTimer = m_parts.loop.after(pause, [this] { processAdmissionQueue(); });
}

void Gateway::checkInstance()
{
    if (m_instance.isPresent() && m_instance.timeSinceHeartbeat() > m_options.heartbeatInterval + kMaxHeartbeatDelay) {
        m_runner.probe();
    }
    processAdmissionQueue();
}

bool Gateway::isReady() const
{
    return m_view.manifest() != nullptr && !m_drainHandler;
}

void Gateway::setSeeds(std::vector<std::string> seeds)
{
    m_fleet.setSeeds(std::move(seeds));
}

void Gateway::drain(std::function<void()> done)
{
    m_drainHandler = std::move(done);
    m_drainStart = m_parts.loop.clock().now();
    m_lastBusy = m_drainStart;
    m_parts.logger.write(GatewayEvents::kGatewayDraining,
                         { field("requests", m_requestHandler.pendingCount()),
                           field("calls", m_peers->pendingCount()),
                           field("running", m_admission.runningCount()) });
    m_fleet.setLeaving();
    m_requestHandler.setAnswerLimit(m_drainStart + m_options.shutdownLimit - kFinalAnswerTime);
    m_outbound->drain();
    m_drainTimer = m_parts.loop.every(kDrainInterval, [this] { checkDrain(); });
}

void Gateway::checkDrain()
{
    const auto now = m_parts.loop.clock().now();
    const auto sinceDrainStart = now - m_drainStart;
    const auto peerDrainTime = m_instance.isKeyed() ? kKeyedPeerDrainTime : kPeerDrainTime;
    if (sinceDrainStart >= peerDrainTime) {
        m_instance.setLeaving();
        m_peers->stopAcceptingCalls();
    }
    if (sinceDrainStart >= kClientDrainTime) {
        m_outbound->closeIdleConnections();
    }
    if (sinceDrainStart >= kRefuseClientsAfter) {
        m_requestHandler.refuseNewRequests();
    }
    const bool busy = m_requestHandler.pendingCount() > 0 || m_peers->pendingCount() > 0 || m_outbound->unfinishedRequests() > 0
        || m_outbound->lingeringConnections() > 0;
    m_lastBusy = busy ? now : m_lastBusy;
    const bool idle = sinceDrainStart >= kClientDrainTime && now - m_lastBusy >= kMinIdleTime;
    const bool peersClosed = m_peers->connectionCount() == 0 || now - m_peers->lastGoAwayTime() >= kPeerCloseTime;
    if (idle && m_peers->isListening()) {
        m_peers->stopListening(); // The next check includes the connections accepted until now.
    } else if ((idle && peersClosed) || sinceDrainStart >= m_options.shutdownLimit) {
        m_drainTimer.cancel();
        m_drainHandler();
    }
}

std::size_t Gateway::unfinishedRequests() const
{
    return m_outbound->unfinishedRequests();
}

void Gateway::updateMetrics()
{
    auto &metrics = m_parts.metrics;
    metrics.gauge("toucandeck_gate_running", "Calls in a slot of the backend server").Set(static_cast<double>(m_admission.runningCount()));
    metrics.gauge("toucandeck_gate_waiting", "Calls that wait for a slot").Set(static_cast<double>(m_admission.waitingCount()));
    metrics.gauge("toucandeck_backend_speed", "Speed of the backend server relative to its service's; 0 is unknown")
        .Set(m_admission.speedPermille() / 1000.0);
    metrics.gauge("toucandeck_requests_pending", "Requests of clients in progress")
        .Set(static_cast<double>(m_requestHandler.pendingCount()));
    metrics.gauge("toucandeck_nested_calls_retried", "Rounds of attempts of nested calls after refusals by all gateways asked")
        .Set(static_cast<double>(m_router.retriedNestedCalls()));
    metrics
        .gauge("toucandeck_nested_call_limit",
               "Lowest limit on concurrent requests of a route that make nested calls; 0 if none is in force")
        .Set(m_parents.gate().lowestLimit().value_or(0));
    metrics.gauge("toucandeck_nested_calls_refused_parents", "Requests refused because their nested calls could not be served")
        .Set(static_cast<double>(m_parents.gate().refusedRequests()));
    metrics.gauge("toucandeck_retries_held", "Retries of clients that came before their Retry-After and waited")
        .Set(static_cast<double>(m_requestHandler.heldRetries()));
    const auto &grants = m_instance.callGrants();
    const auto &counters = grants.counters();
    metrics.gauge("toucandeck_grants_sent", "Calls that granted keys to the backend server").Set(static_cast<double>(counters.sent));
    metrics.gauge("toucandeck_grants_accepted", "Of these, answered with success").Set(static_cast<double>(counters.accepted));
    metrics.gauge("toucandeck_grants_refused", "Of these, refused by the backend server").Set(static_cast<double>(counters.refused));
    metrics.gauge("toucandeck_grants_unanswered", "Of these, without an answer").Set(static_cast<double>(counters.unanswered));
    metrics.gauge("toucandeck_key_releases_sent", "Calls that took keys back").Set(static_cast<double>(counters.releases));
    metrics.gauge("toucandeck_grant_oldest_unanswered_seconds", "Age of the oldest unanswered grant that may be in force")
        .Set(std::chrono::duration<double>(grants.oldestUnanswered()).count());
    metrics.gauge("toucandeck_manifest_version", "Version of the manifest in force").Set(static_cast<double>(m_view.manifestVersion()));
    const auto setKept = [&metrics](const char *kind, std::size_t n) {
        metrics.gauge("toucandeck_kept_names", "Names of the manifest under which the gateway keeps a state", { { "kind", kind } })
            .Set(static_cast<double>(n));
    };
    setKept("split", m_requestHandler.splitCount());
    setKept("service", m_router.serviceCount());
    setKept("reference_work", m_referenceWork.size());
    setKept("nested_call_limit", m_parents.gate().size());
    setKept("nested_call_time", m_parents.times().size());
    const auto setIgnored = [&metrics](const char *reason, std::uint64_t n) {
        metrics
            .gauge("toucandeck_instance_messages_ignored",
                   "Heartbeats and notices of departure that were not taken for the backend server's",
                   { { "reason", reason } })
            .Set(static_cast<double>(n));
    };
    setIgnored("unreadable", m_unreadableMessages);
    for (const auto reason : kRejections) {
        setIgnored(toString(reason), m_instance.ignoredMessages(reason));
    }
    metrics.gauge("toucandeck_departures_pending", "Notices of backend servers that they stop which are not confirmed yet")
        .Set(static_cast<double>(m_instance.departures().pendingCount()));
    metrics.gauge("toucandeck_view_age_seconds", "Time since the last update from a controller")
        .Set(std::chrono::duration<double>(m_view.age()).count());
    metrics.gauge("toucandeck_controller_connected", "1 while a leading controller answers").Set(m_fleet.isConnected() ? 1 : 0);
}

} // namespace Toucandeck
