#pragma once

#include "fleet/controller.h"
#include "gateway/gateway.h"
#include "http/pipelined_server.h"
#include "log/json_logger.h"
#include "node/node_settings.h"
#include "runtime/metrics.h"

#include <memory>

namespace Toucandeck
{

/// How callers of a node's HTTP addresses speak. An adapter translates it.
class NodeInterface
{
public:
    using Exchange = std::shared_ptr<HttpExchange>;

    virtual ~NodeInterface() = default;

    virtual const HeaderNames &headers() const = 0;
    virtual const ManifestCodec &manifestCodec() const = 0;
    /// A check of the readiness.
    virtual void handleReady(Gateway &gateway, const Exchange &exchange) const = 0;
    /// A call of the backend server beside the gateway.
    virtual void handleInstance(Gateway &gateway, const Exchange &exchange) const = 0;
    /// A call of an operator.
    virtual void handleOperator(Controller &controller, const Exchange &exchange) const = 0;
};

/// One node of a fleet: event loop, log, metrics, signals, and the gateway or controller.
class Node
{
public:
    /// @param settingsFile is read again on SIGHUP and when it changes. Errors: Io and those of the parts.
    static Result<std::unique_ptr<Node>> create(NodeSettings settings, std::string settingsFile, const NodeInterface &interface);
    ~Node();

    /// Runs until stopped by a signal; the exit code of the process.
    int run();

private:
    Node(NodeSettings settings, std::string settingsFile, const NodeInterface &interface);
    Result<void> start();
    Result<void> startGateway();
    Result<void> startController();
    Result<void> startMetrics();
    Result<std::unique_ptr<PipelinedServer>> serve(const SocketAddress &address, PipelinedServer::Handler handler);
    void stop();
    void reload(const char *cause);
    void checkSettingsFile();
    void handleMetrics(const std::shared_ptr<HttpExchange> &exchange);

    NodeSettings m_settings;
    std::string m_settingsFile;
    const NodeInterface &m_interface;
    BootClock m_clock;
    JsonLogger m_logger;
    Metrics m_metrics;
    std::unique_ptr<RandomSource> m_random;
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<Gateway> m_gateway;
    std::unique_ptr<Controller> m_controller;
    std::vector<std::unique_ptr<PipelinedServer>> m_servers;
    std::vector<EventLoop::Watch> m_watches;
    std::string m_settingsText; ///< As last read.
    int m_exitCode = 0;
    bool m_stopping = false;
};

} // namespace Toucandeck
