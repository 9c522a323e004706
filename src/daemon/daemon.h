#pragma once

#include "config/settings.h"
#include "daemon/controller_role.h"
#include "daemon/event_ring.h"
#include "daemon/router_role.h"
#include "runtime/http_server.h"
#include "runtime/message_socket.h"
#include "runtime/metrics.h"
#include "runtime/supervisor.h"
#include "runtime/tracer.h"

#include <memory>
#include <string>

namespace Toucandeck
{

/// Exit codes of toucandeckd.
enum class ExitCode {
    Ok = 0,
    Failed = 1, ///< The process could not start or continue.
    Usage = 2, ///< Wrong options.
    BadSettings = 3, ///< The settings are not valid.
    ShutdownForced = 4, ///< The graceful shutdown timed out with work unfinished.
};

/// The process: event loop, sockets and the roles that the settings select.
class Daemon
{
public:
    /// Fails with Io if an address cannot be bound, InvalidArgument for a key or token that cannot be read.
    static Result<std::unique_ptr<Daemon>> create(Settings settings, std::string settingsFile);
    ~Daemon();

    /// Runs until SIGTERM, SIGINT or a failure that restarting a role does not resolve.
    ExitCode run();

private:
    Daemon(Settings settings, std::string settingsFile);
    Result<void> open();
    Result<void> openSockets();
    void addRoles(const std::string &token);
    void receive(const wire::Envelope &envelope);
    void handleHttp(const std::shared_ptr<HttpExchange> &exchange);
    bool isReady();
    std::string metricsText();
    void reload();
    void apply(const Settings &settings);
    void shutDown();
    void stopServer();
    void exitWith(ExitCode code);

    SystemClock m_clock;
    Settings m_settings;
    std::string m_settingsFile;
    SeededRandom m_random;
    StderrLogger m_stderr;
    EventRing m_logger;
    Metrics m_metrics;
    Tracer m_tracer;
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<MessageSocket> m_messages;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<Supervisor> m_supervisor;
    RouterRole *m_router = nullptr; ///< Owned by the supervisor.
    ControllerRole *m_controller = nullptr; ///< Owned by the supervisor.
    bool m_isShuttingDown = false;
    ExitCode m_exitCode = ExitCode::Ok;
    std::vector<EventLoop::Watch> m_signals;
    EventLoop::Watch m_finalAnswersTimer;
    EventLoop::Watch m_shutdownTimer;
};

} // namespace Toucandeck
