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

/// What may be repeated of a route's requests.
enum class RequestKind {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Runs at most once for each attempt of a client.
};

/// Part of a route's requests that goes to one service.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Requests of a host and path prefix, and how they are served.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::AtMostOnce;
    Duration timeout{}; ///< A request has its final answer after this time.
    Duration targetLatency{}; ///< An answer after this time is worth less to the client.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Backend servers that one attempt of a client may be sent to.
    std::vector<RouteTarget> targets; ///< At least one; more than one is a weighted split.
};

/// A group of backend servers that are alike.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< That one backend server accepts; zero is unlimited.
    Duration coldPeriod{}; ///< For which a backend server is cold after its start.
    double coldRequestsPerSecond = 0; ///< That a cold backend server bears; zero is unlimited.
    bool keyed = false; ///< A request is run only by the holder of its key.
    Duration warmPeriod{}; ///< For which keys are slow that came without a handover.
};

/// Routes, services and limits in force.
struct Manifest
{
    std::uint64_t version = 0;
    std::map<std::string, Route> routes;
    std::map<std::string, ServiceSpec> services;
    HttpLimits limits;
};

/// Latest target latency after the timeout that a route may have.
inline constexpr std::chrono::minutes kMaxTargetBeyondTimeout{ 1 };

/// Checks what must hold between the parts. Errors: InvalidArgument, naming the item.
Result<void> checkManifest(const Manifest &manifest);

} // namespace Toucandeck
