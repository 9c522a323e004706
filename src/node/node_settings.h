#pragma once

#include "common/result.h"
#include "common/time.h"
#include "gateway/admission_policy.h"
#include "gateway/balancing.h"
#include "gateway/nested_calls.h"
#include "link/socket_address.h"
#include "log/event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Toucandeck
{

/// Role of a node in a fleet.
enum class NodeRole {
    Gateway, ///< Runs on the VM of a backend server.
    Controller, ///< Maintains the shared state of the fleet.
};

/// Settings of one node of a fleet, written in JSON. Unknown fields are ignored, so that one file can serve several versions.
struct NodeSettings
{
    std::string process; ///< Name of the process in log lines.
    NodeRole role = NodeRole::Gateway;
    std::string ip;
    std::string failureDomain;
    std::uint16_t peerPort = 0; ///< Port for connections between nodes; the same on all nodes.
    std::uint16_t metricsPort = 0; ///< Port of the metrics endpoint; zero disables it.
    std::size_t memoryLimit = 0; ///< Bytes that the process may occupy; clients get half of them. Zero is no limit.
    std::vector<SocketAddress> seeds; ///< Addresses of some controllers for operators.
    LogLevel logLevel = LogLevel::Info;

    // Settings of a gateway.
    std::string service; ///< Service of the backend server on this VM.
    SocketAddress backend; ///< Address of the backend server.
    SocketAddress outbound; ///< Listens for requests of clients and of the backend server.
    SocketAddress ready; ///< Listens for readiness checks.
    double retryShare = 0; ///< Maximum ratio of retries to requests, over all gateways.
    Balancing balancing = Balancing::LeastTime; ///< Choice among the backend servers of services without keys.
    NestedCalls nestedCalls = NestedCalls::Independent; ///< Treatment of the calls that requests make.
    AdmissionPolicy admission = AdmissionPolicy::RefuseLate; ///< Calls that are expected to miss their latency target.
    Duration heartbeatInterval{}; ///< Interval of the backend server's heartbeats.
    Duration shutdownLimit{}; ///< Maximum duration of a graceful shutdown.

    SocketAddress control; ///< Listens for calls of the backend server (gateway) or of operators (controller).

    // Settings of a controller.
    std::string dataFolder;
    bool firstStart = false; ///< True if the whole deployment starts for the first time.
    std::size_t toleratedLosses = 0; ///< Number of controllers that may fail at the same time.
    Duration confirmationDelay{}; ///< Maximum delay of the confirmation of a manifest until all gateways in contact apply it.
    Duration longestHold{}; ///< Maximum duration of a lease on keys granted to a backend server.

    /// Parses settings. Errors: InvalidArgument, naming the field.
    static Result<NodeSettings> parse(std::string_view text);
    /// Reads a settings file. Errors: Io, InvalidArgument.
    static Result<NodeSettings> load(const std::string &path);

    std::vector<std::string> seedIps() const;
};

} // namespace Toucandeck
