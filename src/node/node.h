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

/// Adapter for the HTTP interface of a node: names of headers, format of the manifest, and calls.
class NodeInterface
{
public:
    using Exchange = std::shared_ptr<HttpExchange>;

    virtual ~NodeInterface() = default;

    virtual const HeaderNames &headers() const = 0;
    virtual const ManifestCodec &manifestCodec() const = 0;
    virtual const GrantCodec &grantCodec() const = 0;
    /// Handles a readiness check.
    virtual void handleReady(Gateway &gateway, const Exchange &exchange) const = 0;
    /// Handles a call of the backend server on the gateway's VM.
    virtual void handleInstance(Gateway &gateway, const Exchange &exchange) const = 0;
    /// Handles a call of an operator.
    virtual void handleOperator(Controller &controller, const Exchange &exchange) const = 0;
};

/// Node of a fleet: a gateway or a controller with its event loop, log, metrics and signal handlers.
class Node
{
public:
    /// @param settingsFile path of the settings file, which is reloaded on SIGHUP and when it changes; only the seeds and the log level
    /// are then applied. Errors: Io, and errors of the gateway or controller.
    static Result<std::unique_ptr<Node>> create(NodeSettings settings, std::string settingsFile, const NodeInterface &interface);
    ~Node();

    /// Runs until a signal or a failure of the controller stops the node. Returns the exit code of the process.
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
    std::shared_ptr<RequestMemory> m_requestMemory; ///< Null without a limit.
    std::vector<std::unique_ptr<PipelinedServer>> m_servers;
    std::vector<EventLoop::Watch> m_watches;
    std::string m_settingsText; ///< Contents of the settings file when it was last read.
    int m_exitCode = 0;
    bool m_stopping = false;
};

} // namespace Toucandeck
