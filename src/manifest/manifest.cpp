#include "manifest/manifest.h"

#include <algorithm>
#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

Result<void> invalidRoute(const Route &route, std::string_view reason)
{
    return fail(ErrorCode::InvalidArgument, fmt::format("route \"{}\": {}", route.name, reason));
}

Result<void> checkTargets(const Route &route, const Manifest &manifest)
{
    if (route.targets.empty()) {
        return invalidRoute(route, "names no service");
    }
    std::uint64_t weights = 0;
    for (const auto &it : route.targets) {
        if (manifest.services.count(it.service) == 0) {
            return invalidRoute(route, fmt::format("service \"{}\" does not exist", it.service));
        }
        weights += it.weight;
    }
    if (weights == 0) {
        return invalidRoute(route, "the weights of its services are all zero");
    }
    return {};
}

Result<void> checkRoute(const Route &route, const Manifest &manifest)
{
    if (route.host.empty()) {
        return invalidRoute(route, "the host is empty");
    }
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
        return invalidRoute(route, "the path prefix must begin and end with a slash");
    }
    if (route.timeout <= Duration::zero()) {
        return invalidRoute(route, "the timeout must be positive");
    }
    if (route.targetLatency - route.timeout >= kMaxTargetLatencyBeyondTimeout) {
        return invalidRoute(route, "the target latency is a minute or more above the timeout");
    }
    return checkTargets(route, manifest);
}

} // namespace

Result<void> checkManifest(const Manifest &manifest)
{
    for (const auto &[name, route] : manifest.routes) {
        BOOST_LEAF_CHECK(checkRoute(route, manifest));
    }
    return {};
}

} // namespace Toucandeck
