#include "manifest/route_table.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

std::string normalisedHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    return text;
}

} // namespace

RouteTable::RouteTable(const Manifest &manifest)
{
    for (const auto &[name, route] : manifest.routes) {
        m_byHost[normalisedHost(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : m_byHost) {
        std::sort(routes.begin(), routes.end(), [](const auto *a, const auto *b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(normalisedHost(host));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    const auto &routes = found->second;
    const auto it = std::find_if(routes.begin(), routes.end(), [path](const auto *route) { return path.starts_with(route->pathPrefix); });
    return it == routes.end() ? nullptr : *it;
}

} // namespace Toucandeck
