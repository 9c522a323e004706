#include "layout.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace Toucandeck::Standin
{

namespace
{

LayoutService toService(const nlohmann::json &json)
{
    LayoutService service;
    service.name = json.at("name").get<std::string>();
    service.instances = json.at("instances").get<std::uint32_t>();
    service.key = json.value("key", "none");
    service.fenced = json.value("fenced", true);
    service.serviceTime = std::chrono::milliseconds(json.value("service_ms", 3));
    service.slots = json.value("slots", 9U);
    service.connections = json.value("connections", 130U);
    service.calls = json.value("calls", "");
    return service;
}

Layout toLayout(const nlohmann::json &json)
{
    Layout layout;
    layout.name = json.at("name").get<std::string>();
    layout.failureDomains = json.at("failure_domains").get<std::vector<std::string>>();
    layout.oneWayDelay = std::chrono::milliseconds(json.value("one_way_delay_ms", 0));
    layout.callerDelay = std::chrono::milliseconds(json.value("caller_delay_ms", 0));
    for (const auto &it : json.at("services")) {
        layout.services.push_back(toService(it));
    }
    return layout;
}

} // namespace

Result<Layout> Layout::read(const std::string &path)
{
    std::ifstream in(path);
    if (!in) {
        return fail(ErrorCode::NotFound, fmt::format("cannot read layout '{}'", path));
    }
    try {
        return toLayout(nlohmann::json::parse(in));
    } catch (const nlohmann::json::exception &ec) {
        return fail(ErrorCode::InvalidArgument, fmt::format("layout '{}': {}", path, ec.what()));
    }
}

} // namespace Toucandeck::Standin
