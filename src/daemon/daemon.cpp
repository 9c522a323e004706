#include "daemon/daemon.h"

#include "config/events.h"
#include "daemon/events.h"

#include <csignal>

namespace Toucandeck
{

namespace
{

/// Requests that still run this long before a graceful shutdown is forced to end are answered, so that no caller is cut off.
constexpr std::chrono::milliseconds kFinalAnswersTime{ 500 };

HttpResponse plainTextResponse(int status, std::string text)
{
    return { status, { { "Content-Type", "text/plain; charset=utf-8" }, { "Toucandeck-Verdict", "not-run" } }, std::move(text) };
}

/// True for messages that routers send to controllers and those between controllers.
bool isForController(wire::Envelope::BodyCase body)
{
    switch (body) {
    case wire::Envelope::kReplica:
    case wire::Envelope::kRegisterSession:
    case wire::Envelope::kRenew:
    case wire::Envelope::kRelease:
    case wire::Envelope::kClose:
    case wire::Envelope::kFetchView:
        return true;
    default:
        return false;
    }
}

/// True if @p next changes a setting that only takes effect after a restart.
bool needsRestart(const Settings &current, const Settings &next)
{
    return current.process != next.process || current.failureDomain != next.failureDomain || current.router != next.router
        || current.controller != next.controller || current.messageAddress != next.messageAddress || current.messageBind != next.messageBind
        || current.httpAddress != next.httpAddress || current.controllers != next.controllers || current.dataDir != next.dataDir
        || current.curve != next.curve || current.traceFile != next.traceFile;
}

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::create(Settings settings, std::string settingsFile)
{
    auto daemon = std::unique_ptr<Daemon>(new Daemon(std::move(settings), std::move(settingsFile)));
    BOOST_LEAF_CHECK(daemon->open());
    return daemon;
}

Daemon::Daemon(Settings settings, std::string settingsFile)
    : m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsFile))
    , m_random(systemSeed())
    , m_stderr(m_clock, m_settings.process, m_settings.logLevel)
    , m_logger(m_stderr, m_clock, m_settings.process)
    , m_tracer(m_clock, m_random, m_settings.process, m_settings.traceFile, m_logger)
{
}

Daemon::~Daemon()
{
    m_signals.clear();
    m_shutdownTimer.cancel();
}

Result<void> Daemon::open()
{
    BOOST_LEAF_AUTO(token, loadToken(m_settings.tokenFile));
    BOOST_LEAF_ASSIGN(m_loop, EventLoop::create(m_clock));
    BOOST_LEAF_CHECK(openSockets());
    addRoles(token);
    for (const int it : { SIGTERM, SIGINT }) {
        m_signals.push_back(m_loop->onSignal(it, [this] { shutDown(); }));
    }
    m_signals.push_back(m_loop->onSignal(SIGHUP, [this] { reload(); }));
    return {};
}

Result<void> Daemon::openSockets()
{
    MessageSocketOptions messages;
    messages.address = m_settings.messageBind;
    messages.advertisedAddress = m_settings.messageAddress;
    messages.highWaterMark = static_cast<int>(m_settings.limits.messageHighWaterMark);
    if (m_settings.curve) {
        messages.curve
            = CurveOptions{ m_settings.curve->secretKeyFile, m_settings.curve->serverPublicKey, m_settings.curve->allowedKeysDir };
    }
    BOOST_LEAF_ASSIGN(m_messages, MessageSocket::create(*m_loop, messages, m_logger));
    m_messages->setHandler([this](const wire::Envelope &envelope) { receive(envelope); });

    BOOST_LEAF_AUTO(address, splitHttpAddress(m_settings.httpAddress));
    HttpServerOptions http;
    http.host = address.first;
    http.port = address.second;
    http.maxHeaderBytes = m_settings.limits.maxHeaderBytes;
    http.maxBodyBytes = m_settings.limits.maxBodyBytes;
    http.stopLimit = m_settings.limits.shutdown;
    BOOST_LEAF_ASSIGN(m_server, HttpServer::create(*m_loop, http, m_logger));
    m_server->setHandler([this](const std::shared_ptr<HttpExchange> &exchange) { handleHttp(exchange); });
    return {};
}

void Daemon::addRoles(const std::string &token)
{
    m_supervisor = std::make_unique<Supervisor>("daemon", *m_loop, RestartPolicy{}, m_logger);
    if (m_settings.controller) {
        const Member self{ {}, ReplicaRole::Learner, m_settings.failureDomain, m_settings.messageAddress, m_settings.httpAddress };
        auto role = std::make_unique<ControllerRole>(
            ControllerRoleParts{ *m_loop, *m_messages, m_random, m_logger, m_metrics, m_settings.dataDir, self, token });
        m_controller = role.get();
        m_supervisor->add(std::move(role));
    }
    if (m_settings.router) {
        auto role = std::make_unique<RouterRole>(RouterParts{ *m_loop, *m_messages, m_random, m_logger, m_metrics, m_tracer, m_settings });
        m_router = role.get();
        m_supervisor->add(std::move(role));
    }
}

ExitCode Daemon::run()
{
    const auto onUnrecoverableFailure = [this](const std::string &reason) {
        m_logger.write(Events::kDaemonFailed, { field("reason", reason) });
        exitWith(ExitCode::Failed);
    };
    handleError([&]() -> Result<void> { return m_supervisor->start(onUnrecoverableFailure); },
                [&](const Error &error) { onUnrecoverableFailure(error.message); });
    m_logger.write(Events::kDaemonStarted,
                   { field("router", m_settings.router), field("controller", m_settings.controller), field("http", m_server->address()) });
    m_loop->run();
    m_supervisor->abort();
    m_logger.write(Events::kDaemonStopped, { field("exit_code", static_cast<int>(m_exitCode)) });
    return m_exitCode;
}

void Daemon::receive(const wire::Envelope &envelope)
{
    if (isForController(envelope.body_case())) {
        if (m_controller != nullptr) {
            m_controller->receive(envelope);
        }
    } else if (m_router != nullptr) {
        m_router->receive(envelope);
    }
}

void Daemon::handleHttp(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto path = exchange->request().path();
    if (path == "/healthz") {
        exchange->respond(plainTextResponse(200, "live\n"));
    } else if (path == "/readyz") {
        const bool ready = isReady();
        exchange->respond(plainTextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    } else if (path == "/metrics") {
        exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsText() });
    } else if (m_controller != nullptr && m_controller->handleHttp(exchange)) {
        return;
    } else if (m_router != nullptr) {
        m_router->handleHttp(exchange);
    } else {
        exchange->respond(plainTextResponse(404, "this process has no router role\n"));
    }
}

bool Daemon::isReady()
{
    return !m_isShuttingDown && (m_controller == nullptr || m_controller->isReady()) && (m_router == nullptr || m_router->isReady());
}

std::string Daemon::metricsText()
{
    const auto &counters = m_messages->counters();
    const auto set
        = [this](const char *name, const char *help, std::uint64_t value) { m_metrics.gauge(name, help).Set(static_cast<double>(value)); };
    set("toucandeck_messages_sent", "Messages sent to other processes.", counters.sent);
    set("toucandeck_messages_received", "Messages received from other processes.", counters.received);
    set("toucandeck_message_bytes_sent", "Bytes of messages sent, without protocol overhead.", counters.sentBytes);
    set("toucandeck_message_bytes_received", "Bytes of messages received, without protocol overhead.", counters.receivedBytes);
    set("toucandeck_messages_dropped", "Messages dropped because a peer was unreachable or slow.", counters.dropped);
    set("toucandeck_messages_undecodable", "Received messages that were no valid envelope.", counters.undecodable);
    set("toucandeck_peers_rejected", "Connections that failed the handshake or authentication.", counters.rejectedPeers);
    set("toucandeck_http_in_flight", "HTTP requests that wait for their answer.", m_server->inFlight());
    return m_metrics.text();
}

void Daemon::reload()
{
    handleError(
        [this]() -> Result<void> {
            BOOST_LEAF_AUTO(settings, loadSettings(m_settingsFile));
            BOOST_LEAF_AUTO(token, loadToken(settings.tokenFile));
            BOOST_LEAF_CHECK(m_messages->reloadKeys());
            if (m_controller != nullptr) {
                m_controller->setToken(token);
            }
            apply(settings);
            return {};
        },
        [this](const Error &error) { m_logger.write(Events::kSettingsRefused, { field("reason", error.message) }); });
}

void Daemon::apply(const Settings &settings)
{
    if (needsRestart(m_settings, settings)) {
        m_logger.write(Events::kSettingsNeedRestart, { field("file", m_settingsFile) });
    }
    m_settings.limits = settings.limits;
    m_settings.logLevel = settings.logLevel;
    m_settings.tokenFile = settings.tokenFile;
    m_stderr.setLowestLevel(settings.logLevel);
    m_server->setLimits(settings.limits.maxHeaderBytes, settings.limits.maxBodyBytes);
    if (m_router != nullptr) {
        m_router->onLimitsChanged();
    }
    m_logger.write(Events::kSettingsReloaded, { field("file", m_settingsFile) });
}

void Daemon::shutDown()
{
    if (std::exchange(m_isShuttingDown, true)) {
        return;
    }
    m_logger.write(Events::kDaemonStopping, { field("http_in_flight", m_server->inFlight()) });
    const auto limit = m_settings.limits.shutdown;
    m_finalAnswersTimer = m_loop->after(limit - std::min<Duration>(kFinalAnswersTime, limit / 2), [this] {
        if (m_router != nullptr) {
            m_router->answerPending();
        }
    });
    m_shutdownTimer = m_loop->after(limit, [this] {
        m_logger.write(Events::kShutdownForced, { field("http_in_flight", m_server->inFlight()) });
        exitWith(ExitCode::ShutdownForced);
    });
    // Connections are accepted until the router has released everything and its backend server is idle.
    if (m_router != nullptr) {
        m_router->leave([this] { stopServer(); });
    } else {
        stopServer();
    }
}

void Daemon::stopServer()
{
    m_server->stop([this] { m_supervisor->stop([this] { exitWith(m_exitCode); }); });
}

void Daemon::exitWith(ExitCode code)
{
    m_exitCode = code;
    m_loop->stop();
}

} // namespace Toucandeck
