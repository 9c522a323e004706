#pragma once

#include "manifest/manifest.h"

#include <string_view>
#include <unordered_map>

namespace Toucandeck
{

/// Finds the route of a request: the one of its host with the longest path prefix.
class RouteTable
{
public:
    RouteTable() = default;
    /// @param manifest must outlive the table.
    explicit RouteTable(const Manifest &manifest);

    /// Null if no route matches.
    /// @param host may carry a port, which is ignored, as is the case of letters.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost; ///< Longest prefix first.
};

/// Parts the requests of routes with a weighted split so that each target gets its share at any time, not just on average.
class SplitCounter
{
public:
    /// Service for the next request of the route.
    const std::string &next(const Route &route);

private:
    std::unordered_map<std::string, std::vector<double>> m_credits; ///< By route, one per target.
};

} // namespace Toucandeck
