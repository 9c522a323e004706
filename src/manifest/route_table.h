#pragma once

#include "manifest/manifest.h"

#include <string_view>
#include <unordered_map>

namespace Toucandeck
{

/// Finds the route of a request by its host and the longest matching path prefix.
class RouteTable
{
public:
    RouteTable() = default;
    /// @param manifest must outlive the table.
    explicit RouteTable(const Manifest &manifest);

    /// Returns null if no route matches.
    /// @param host may include a port, which is ignored; compared without regard to case.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost; ///< Sorted by descending length of the prefix.
};

} // namespace Toucandeck
