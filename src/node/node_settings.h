#pragma once

#include "common/result.h"
#include "common/time.h"
#include "link/socket_address.h"
#include "log/event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Toucandeck
{

/// What a node is in a fleet.
enum class NodeRole {
    Gateway, ///< Beside a backend server.
    Controller, ///< Holds the shared state.
};

/// Settings of one node of a fleet, written in JSON. Unknown fields are ignored, so that one file can serve several versions.
struct NodeSettings
{
    std::string process; ///< Name in logs.
    NodeRole role = NodeRole::Gateway;
    std::string ip;
    std::string failureDomain;
    std::uint16_t peerPort = 0; ///< Of all nodes, for the connections between them.
    std::uint16_t metricsPort = 0; ///< Zero: no metrics are served.
    std::vector<SocketAddress> seeds; ///< Operators' addresses of some controllers.
    LogLevel logLevel = LogLevel::Info;

    // Of a gateway.
    std::string service; ///< Of the backend server on this VM.
    SocketAddress backend; ///< Of the backend server.
    SocketAddress outbound; ///< For requests of clients and of the backend server.
    SocketAddress ready; ///< For checks of the readiness.
    double retryShare = 0; ///< Most repeats per request, over all gateways.
    Duration heartbeatInterval{}; ///< Between two heartbeats of the backend server.
    Duration shutdownLimit{}; ///< Time for a graceful stop.

    // Of a gateway for heartbeats, of a controller for operators.
    SocketAddress control;

    // Of a controller.
    std::string dataFolder;
    bool firstStart = false; ///< The whole deployment starts for the first time.
    std::size_t toleratedLosses = 0; ///< Controllers that may be lost at once.
    Duration longestHold{}; ///< For which a backend server may be granted keys.

    /// Reads settings. Errors: InvalidArgument, naming the field.
    static Result<NodeSettings> parse(std::string_view text);
    /// Reads a settings file. Errors: Io, InvalidArgument.
    static Result<NodeSettings> load(const std::string &path);

    std::vector<std::string> seedIps() const;
};

} // namespace Toucandeck
