#pragma once

#include "common/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Toucandeck::Standin
{

/// One service of a layout file.
struct LayoutService
{
    std::string name;
    std::uint32_t instances = 1;
    std::string key; ///< As in the table: "none", "segment:N", "header:NAME".
    bool fenced = true;
    std::chrono::milliseconds serviceTime{ 3 };
    std::uint32_t slots = 9;
    std::uint32_t connections = 130;
    std::string calls; ///< Service that it calls; empty: none.
};

/// Failure domains and services of one deployment; see etc/layouts.
struct Layout
{
    std::string name;
    std::vector<std::string> failureDomains;
    std::chrono::milliseconds oneWayDelay{ 0 };
    std::chrono::milliseconds callerDelay{ 0 };
    std::vector<LayoutService> services;

    /// Reads a layout file. Errors name the file and the field.
    static Result<Layout> read(const std::string &path);
};

} // namespace Toucandeck::Standin
