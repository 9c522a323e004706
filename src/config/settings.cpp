#include "config/settings.h"

#include "config/settings_schema.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Toucandeck
{

namespace
{

using nlohmann::json;

constexpr std::string_view kTcp = "tcp://";

void readMs(const json &object, const char *name, Duration &value)
{
    if (object.contains(name)) {
        value = std::chrono::milliseconds(object[name].get<std::int64_t>());
    }
}

void readSize(const json &object, const char *name, std::size_t &value)
{
    value = object.value(name, value);
}

LimitSettings limitsFrom(const json &object)
{
    LimitSettings limits;
    readSize(object, "max_body_bytes", limits.maxBodyBytes);
    readSize(object, "max_header_bytes", limits.maxHeaderBytes);
    readSize(object, "message_high_water_mark", limits.messageHighWaterMark);
    readSize(object, "queue_per_class", limits.queuePerClass);
    readSize(object, "max_waiting_requests", limits.maxWaitingRequests);
    readMs(object, "default_deadline_ms", limits.defaultDeadline);
    readMs(object, "max_deadline_ms", limits.maxDeadline);
    readMs(object, "shutdown_ms", limits.shutdown);
    return limits;
}

LogLevel levelFrom(const std::string &name)
{
    for (const auto it : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning }) {
        if (name == toString(it)) {
            return it;
        }
    }
    return LogLevel::Error;
}

/// Requires a document that the schema accepts.
Settings settingsFrom(const json &document)
{
    Settings settings;
    settings.process = document["process"];
    settings.failureDomain = document["failure_domain"];
    settings.service = document.value("service", "");
    for (const auto &it : document["roles"]) {
        (it == "router" ? settings.router : settings.controller) = true;
    }
    settings.messageAddress = document["message_address"];
    settings.messageBind = document.value("message_bind", settings.messageAddress);
    settings.httpAddress = document["http_address"];
    for (const auto &it : document["controllers"]) {
        settings.controllers.push_back({ it["message_address"], it["http_address"], it.value("public_key", "") });
    }
    settings.dataDir = document.value("data_dir", "");
    settings.tokenFile = document.value("token_file", "");
    if (document.contains("curve")) {
        const auto &curve = document["curve"];
        settings.curve = CurveSettings{ curve["secret_key_file"], curve.value("server_public_key", ""), curve["allowed_keys_dir"] };
    }
    settings.limits = limitsFrom(document.value("limits", json::object()));
    settings.traceFile = document.value("trace_file", "");
    settings.logLevel = levelFrom(document.value("log_level", "info"));
    return settings;
}

void checkAddress(const std::string &path, const std::string &address, std::vector<std::string> &violations)
{
    const auto plain = address.starts_with(kTcp) ? address.substr(kTcp.size()) : address;
    const auto colon = plain.rfind(':');
    in_addr ip{};
    unsigned port = 0;
    std::from_chars(plain.data() + colon + 1, plain.data() + plain.size(), port);
    if (inet_pton(AF_INET, plain.substr(0, colon).c_str(), &ip) != 1) {
        violations.push_back(path + ": expected an IPv4 address of four numbers from 0 to 255");
    } else if (port == 0 || port > 65535) {
        violations.push_back(path + ": expected a port from 1 to 65535");
    }
}

/// Rules that the schema cannot express.
std::vector<std::string> violationsOf(const Settings &settings)
{
    std::vector<std::string> violations;
    checkAddress("message_address", settings.messageAddress, violations);
    if (settings.messageBind != settings.messageAddress) {
        checkAddress("message_bind", settings.messageBind, violations);
    }
    checkAddress("http_address", settings.httpAddress, violations);
    for (std::size_t i = 0; i < settings.controllers.size(); ++i) {
        checkAddress(fmt::format("controllers[{}].message_address", i), settings.controllers[i].messageAddress, violations);
        checkAddress(fmt::format("controllers[{}].http_address", i), settings.controllers[i].httpAddress, violations);
    }
    if (settings.controller && settings.dataDir.empty()) {
        violations.emplace_back("data_dir: missing; expected the path of a folder, because of the role controller");
    }
    if (settings.limits.defaultDeadline > settings.limits.maxDeadline) {
        violations.emplace_back("limits.default_deadline_ms: expected at most limits.max_deadline_ms");
    }
    return violations;
}

boost::leaf::error_id invalid(const std::vector<std::string> &violations)
{
    return fail(ErrorCode::InvalidArgument, fmt::format("{}", fmt::join(violations, "\n")));
}

} // namespace

Result<Settings> parseSettings(const std::string &text)
{
    json document;
    try {
        document = json::parse(text);
    } catch (const json::parse_error &error) {
        return fail(ErrorCode::InvalidArgument, fmt::format("not JSON: {}", error.what()));
    }
    const auto schemaViolations = internal::violationsOf(document);
    if (!schemaViolations.empty()) {
        return invalid(schemaViolations);
    }
    auto settings = settingsFrom(document);
    const auto violations = violationsOf(settings);
    if (!violations.empty()) {
        return invalid(violations);
    }
    return settings;
}

Result<Settings> loadSettings(const std::string &file)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) {
        return fail(ErrorCode::Io, fmt::format("settings file '{}' cannot be read", file));
    }
    return parseSettings(text.str());
}

Result<std::string> loadToken(const std::string &file)
{
    if (file.empty()) {
        return std::string();
    }
    std::ifstream in(file);
    std::string token;
    if (!(in >> token)) {
        return fail(ErrorCode::InvalidArgument, fmt::format("token file '{}' cannot be read or is empty", file));
    }
    return token;
}

Result<std::pair<std::string, std::uint16_t>> splitHttpAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const auto *end = address.data() + address.size();
        const auto [rest, ec] = std::from_chars(address.data() + colon + 1, end, port);
        if (ec == std::errc() && rest == end) {
            return std::pair(address.substr(0, colon), port);
        }
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("'{}' is not IP:PORT", address));
}

} // namespace Toucandeck
