#include "gateway/gateway.h"

#include "gateway/events.h"

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kGateInterval{ 20 }; ///< Between two looks at what waits at the gate.
constexpr milliseconds kWatchInterval{ 300 };
constexpr milliseconds kHeartbeatLate{ 600 }; ///< A backend server whose heartbeat is later than this is probed.
constexpr milliseconds kDrainInterval{ 50 };
/// For this long after the order to stop, clients are still sent here: two checks of the readiness must fail first.
constexpr milliseconds kClientsLeave{ 2500 };
/// Clients that still come after this are turned away: an answer could take longer than the gateway has left.
constexpr milliseconds kRefuseClients{ 3000 };
constexpr milliseconds kPeersLeave{ 1000 }; ///< By then the other gateways know that this one leaves.
/// Nobody else can run the calls for the keys of the backend server beside this gateway, so they are taken for as long as possible.
constexpr milliseconds kKeyedPeersLeave{ 2200 };
constexpr milliseconds kQuiet{ 150 };

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
          [this](const std::string &peer, bool established, const std::string &) { peerClosed(peer, established); })
    , m_view(parts.loop.clock(), parts.logger, parts.codec)
    , m_instance(parts.loop, parts.logger, m_options.backend.toString(), m_options.heartbeatInterval)
    , m_runner(parts.loop, parts.logger, parts.headers, m_options.backend)
    , m_gate(parts.loop.clock(), parts.logger, m_instance, m_runner, m_order)
    , m_calls(parts.loop, m_links, m_gate, m_options.ip)
    , m_router({ parts.loop, parts.logger, parts.random, m_calls, m_view, m_chooser }, m_options.failureDomain, m_options.retryShare)
    , m_fleet(parts.loop, m_links, parts.logger, m_view, m_instance, m_options.ip, m_options.failureDomain, m_options.seeds)
    , m_entry({ parts.loop, parts.logger, parts.random, parts.metrics, parts.headers, m_view, m_gate, m_router },
              [this] { return m_instance.service().empty() ? m_options.service : m_instance.service(); })
{
    m_instance.setStarted([this] { onInstanceStarted(); });
    m_instance.setChanged([this] { onInstanceChanged(); });
    m_runner.setRefused([this] { m_instance.connectionRefused(); });
    m_gate.setSubmitted([this](const Call &call) {
        if (call.key) {
            m_instance.countDemand(*call.key);
        }
        if (!m_gateTimer.isActive()) {
            m_gateTimer = m_parts.loop.after(kGateInterval, [this] { updateGate(); });
        }
    });
    m_view.setChanged([this] {
        applyTerms();
        m_router.viewChanged();
    });
    m_watchTimer = parts.loop.every(kWatchInterval, [this] { watchInstance(); });
}

Gateway::~Gateway() = default;

Result<void> Gateway::listen()
{
    BOOST_LEAF_ASSIGN(m_peers, PeerServer::create(m_parts.loop, m_gate, { m_options.ip, m_options.peerPort }));
    BOOST_LEAF_ASSIGN(m_outbound,
                      PipelinedServer::create(
                          m_parts.loop,
                          m_options.outbound,
                          [this] { return limits(); },
                          [this](const std::shared_ptr<HttpExchange> &exchange) { m_entry.handle(exchange); }));
    return {};
}

HttpLimits Gateway::limits() const
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

void Gateway::peerClosed(const std::string &peer, bool established)
{
    m_calls.peerClosed(peer, established);
    m_fleet.peerClosed(peer);
}

void Gateway::heartbeat(const Heartbeat &it, LocalInstance::Answer answer)
{
    m_instance.heartbeat(it, std::move(answer));
    updateGate();
}

void Gateway::deregister(const std::string &instance)
{
    m_instance.deregister(instance);
}

void Gateway::onInstanceStarted()
{
    m_runner.setInstance(m_instance.instance());
    m_runner.closeIdle();
    applyTerms();
    m_fleet.announceSoon();
}

void Gateway::onInstanceChanged()
{
    m_fleet.announceSoon();
    m_parts.loop.runSoon([this] { updateGate(); });
}

void Gateway::applyTerms()
{
    LocalTerms terms;
    terms.known = m_view.manifest() != nullptr;
    terms.evacuated = m_view.isEvacuated(m_options.failureDomain);
    if (const auto *service = m_view.service(m_instance.service())) {
        terms.keyed = service->keyed;
        terms.coldRequestsPerSecond = service->coldRequestsPerSecond;
        terms.coldPeriod = service->coldPeriod;
    }
    m_instance.setTerms(terms);
    updateGate();
}

void Gateway::updateGate()
{
    m_gate.update();
    m_instance.setMeanWork(m_gate.meanWork());
    if (m_gate.waiting() == 0) {
        m_gateTimer.cancel();
        return;
    }
    if (m_gateTimer.isActive()) {
        return;
    }
    Duration pause = kGateInterval;
    if (const auto next = m_gate.nextDispatch()) {
        pause = std::clamp<Duration>(*next - m_parts.loop.clock().now(), milliseconds(1), kGateInterval);
    }
    m_gateTimer = m_parts.loop.after(pause, [this] { updateGate(); });
}

void Gateway::watchInstance()
{
    if (m_instance.isPresent() && m_instance.silence() > m_options.heartbeatInterval + kHeartbeatLate) {
        m_runner.probe();
    }
    updateGate();
}

bool Gateway::isReady() const
{
    return m_view.manifest() != nullptr && !m_drained;
}

void Gateway::setSeeds(std::vector<std::string> seeds)
{
    m_fleet.setSeeds(std::move(seeds));
}

void Gateway::drain(std::function<void()> done)
{
    m_drained = std::move(done);
    m_drainSince = m_parts.loop.clock().now();
    m_lastBusy = m_drainSince;
    m_parts.logger.write(GatewayEvents::kGatewayDraining,
                         { field("requests", m_entry.pending()), field("calls", m_peers->pending()), field("running", m_gate.running()) });
    m_fleet.setLeaving();
    m_outbound->drain();
    m_drainTimer = m_parts.loop.every(kDrainInterval, [this] { checkDrain(); });
}

void Gateway::checkDrain()
{
    const auto now = m_parts.loop.clock().now();
    const auto since = now - m_drainSince;
    if (since >= (m_instance.isKeyed() ? kKeyedPeersLeave : kPeersLeave)) {
        m_instance.setLeaving();
    }
    if (since >= kRefuseClients) {
        m_entry.refuseNew();
    }
    const bool busy = m_entry.pending() > 0 || m_peers->pending() > 0 || m_outbound->unfinished() > 0;
    m_lastBusy = busy ? now : m_lastBusy;
    const bool finished = since >= kClientsLeave && now - m_lastBusy >= kQuiet;
    if (finished || since >= m_options.shutdownLimit) {
        m_drainTimer.cancel();
        m_drained();
    }
}

void Gateway::updateMetrics()
{
    auto &metrics = m_parts.metrics;
    metrics.gauge("toucandeck_gate_running", "Calls in a slot of the backend server").Set(static_cast<double>(m_gate.running()));
    metrics.gauge("toucandeck_gate_waiting", "Calls that wait for a slot").Set(static_cast<double>(m_gate.waiting()));
    metrics.gauge("toucandeck_requests_pending", "Requests of clients in progress").Set(static_cast<double>(m_entry.pending()));
    metrics.gauge("toucandeck_manifest_version", "Version of the manifest in force").Set(static_cast<double>(m_view.manifestVersion()));
    metrics.gauge("toucandeck_view_age_seconds", "Time since the last update from a controller")
        .Set(std::chrono::duration<double>(m_view.age()).count());
    metrics.gauge("toucandeck_controller_connected", "1 while a leading controller answers").Set(m_fleet.isConnected() ? 1 : 0);
}

} // namespace Toucandeck
