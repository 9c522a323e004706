#pragma once

#include "common/result.h"
#include "common/time.h"
#include "http/message_parser.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Whether the requests of a route may be executed more than once.
enum class RequestKind {
    Idempotent, ///< May be executed more than once.
    AtMostOnce, ///< Executed at most once for each attempt of a client.
};

/// Service that receives a weighted share of a route's requests.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Selects requests by host and path prefix and defines how they are processed.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::AtMostOnce;
    Duration timeout{}; ///< Time within which a request receives its final response.
    Duration targetLatency{}; ///< Latency target; a later response has less value to the client.
    std::uint32_t rank = 0; ///< Priority; 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Maximum number of backend servers tried for one attempt of a client.
    std::vector<RouteTarget> targets; ///< At least one; several form a weighted split.
};

/// How keys are granted to the backend servers of a service.
enum class GrantWay {
    HeartbeatAnswer, ///< In the answer to each heartbeat.
    Call, ///< By calls to the backend server.
};

/// Group of equivalent backend servers.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Maximum per backend server; zero means unlimited.
    Duration coldPeriod{}; ///< Time after its start during which a backend server is cold.
    double coldRequestsPerSecond = 0; ///< Maximum request rate of a cold backend server; zero means unlimited.
    bool keyed = false; ///< Each request is executed only by the holder of its key.
    GrantWay grantWay = GrantWay::HeartbeatAnswer; ///< Of a keyed service.
    Duration warmPeriod{}; ///< Time during which requests are slow for keys acquired without a handover.
};

/// Active routes, services and limits.
struct Manifest
{
    std::uint64_t version = 0;
    std::map<std::string, Route> routes;
    std::map<std::string, ServiceSpec> services;
    HttpLimits limits;
};

/// Exclusive upper bound on the difference between the target latency and the timeout of a route.
inline constexpr std::chrono::minutes kMaxTargetLatencyBeyondTimeout{ 1 };

/// Validates routes and their references to services. Errors: InvalidArgument, naming the route.
Result<void> checkManifest(const Manifest &manifest);

} // namespace Toucandeck
