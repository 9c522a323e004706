#include "node/node_settings.h"

#include "config/json_fields.h"
#include "gateway/heartbeat.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace Toucandeck
{

namespace
{

constexpr std::uint64_t kMaxPort = 65535;

Result<SocketAddress> readAddress(const JsonFields &fields, const char *name)
{
    BOOST_LEAF_AUTO(text, fields.text(name));
    return replaceError([&]() -> Result<SocketAddress> { return SocketAddress::parse(text); },
                        [&](const Error &error) -> Result<SocketAddress> {
                            return fail(ErrorCode::InvalidArgument,
                                        fmt::format("{}: field \"{}\": {}", fields.where(), name, error.message));
                        });
}

Result<std::uint16_t> readPort(const JsonFields &fields, const char *name, std::uint64_t defaultValue)
{
    BOOST_LEAF_AUTO(port, fields.number(name, defaultValue));
    if (port > kMaxPort) {
        return fail(ErrorCode::InvalidArgument, fmt::format("{}: field \"{}\" must be a port, 0 to 65535", fields.where(), name));
    }
    return static_cast<std::uint16_t>(port);
}

Result<NodeRole> readRole(const JsonFields &fields)
{
    BOOST_LEAF_AUTO(text, fields.text("role"));
    if (text == "gateway") {
        return NodeRole::Gateway;
    }
    if (text == "controller") {
        return NodeRole::Controller;
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("settings: role \"{}\" is neither gateway nor controller", text));
}

Result<LogLevel> readLevel(const JsonFields &fields)
{
    BOOST_LEAF_AUTO(text, fields.text("logLevel", "info"));
    for (const auto it : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (text == toString(it)) {
            return it;
        }
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("settings: logLevel \"{}\" is none of debug, info, warning, error", text));
}

Result<Balancing> readBalancing(const JsonFields &fields)
{
    BOOST_LEAF_AUTO(text, fields.text("balancing", "least-time"));
    if (text == "least-time") {
        return Balancing::LeastTime;
    }
    if (text == "capacity") {
        return Balancing::Capacity;
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("settings: balancing \"{}\" is neither least-time nor capacity", text));
}

Result<NestedCalls> readNestedCalls(const JsonFields &fields)
{
    BOOST_LEAF_AUTO(text, fields.text("nestedCalls", "independent"));
    if (text == "independent") {
        return NestedCalls::Independent;
    }
    if (text == "protected") {
        return NestedCalls::Protected;
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("settings: nestedCalls \"{}\" is neither independent nor protected", text));
}

Result<AdmissionPolicy> readAdmission(const JsonFields &fields)
{
    BOOST_LEAF_AUTO(text, fields.text("admission", "refuse-late"));
    if (text == "refuse-late") {
        return AdmissionPolicy::RefuseLate;
    }
    if (text == "serve-late") {
        return AdmissionPolicy::ServeLate;
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("settings: admission \"{}\" is neither refuse-late nor serve-late", text));
}

Result<std::vector<SocketAddress>> readSeeds(const JsonFields &fields)
{
    BOOST_LEAF_AUTO(list, fields.value("seeds"));
    if (!list.is_array()) {
        return fail(ErrorCode::InvalidArgument, "settings: field \"seeds\" must be a list of addresses");
    }
    std::vector<SocketAddress> seeds;
    for (const auto &it : list) {
        if (!it.is_string()) {
            return fail(ErrorCode::InvalidArgument, "settings: field \"seeds\" must be a list of addresses");
        }
        BOOST_LEAF_AUTO(address, SocketAddress::parse(it.get<std::string>()));
        seeds.push_back(address);
    }
    return seeds;
}

Result<void> readGateway(const JsonFields &fields, NodeSettings &out)
{
    BOOST_LEAF_ASSIGN(out.service, fields.text("service"));
    BOOST_LEAF_ASSIGN(out.backend, readAddress(fields, "backend"));
    BOOST_LEAF_ASSIGN(out.outbound, readAddress(fields, "outbound"));
    BOOST_LEAF_ASSIGN(out.ready, readAddress(fields, "ready"));
    BOOST_LEAF_ASSIGN(out.retryShare, fields.fraction("retryShare", 0.08));
    BOOST_LEAF_ASSIGN(out.balancing, readBalancing(fields));
    BOOST_LEAF_ASSIGN(out.nestedCalls, readNestedCalls(fields));
    BOOST_LEAF_ASSIGN(out.admission, readAdmission(fields));
    BOOST_LEAF_ASSIGN(out.heartbeatInterval, fields.time("heartbeatInterval", kDefaultHeartbeatInterval));
    if (out.heartbeatInterval <= Duration::zero()) {
        return fail(ErrorCode::InvalidArgument, "settings: field \"heartbeatInterval\" must be positive");
    }
    BOOST_LEAF_ASSIGN(out.shutdownLimit, fields.time("shutdownLimit", std::chrono::seconds(6)));
    return {};
}

Result<void> readController(const JsonFields &fields, NodeSettings &out)
{
    BOOST_LEAF_ASSIGN(out.dataFolder, fields.text("dataFolder"));
    BOOST_LEAF_ASSIGN(out.firstStart, fields.flag("firstStart", false));
    BOOST_LEAF_AUTO(losses, fields.number("toleratedLosses", 1));
    out.toleratedLosses = static_cast<std::size_t>(losses);
    BOOST_LEAF_ASSIGN(out.longestHold, fields.time("longestHold", std::chrono::seconds(5)));
    BOOST_LEAF_ASSIGN(out.confirmationDelay, fields.time("confirmationDelay", Duration::zero()));
    return {};
}

} // namespace

Result<NodeSettings> NodeSettings::parse(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    BOOST_LEAF_AUTO(fields, JsonFields::of(value, "settings"));
    NodeSettings out;
    BOOST_LEAF_ASSIGN(out.process, fields.text("process"));
    BOOST_LEAF_ASSIGN(out.role, readRole(fields));
    BOOST_LEAF_ASSIGN(out.ip, fields.text("ip"));
    BOOST_LEAF_ASSIGN(out.failureDomain, fields.text("failureDomain"));
    BOOST_LEAF_ASSIGN(out.peerPort, readPort(fields, "peerPort", 0));
    BOOST_LEAF_ASSIGN(out.metricsPort, readPort(fields, "metricsPort", 0));
    BOOST_LEAF_ASSIGN(out.memoryLimit, fields.number("memoryLimit", 0));
    BOOST_LEAF_ASSIGN(out.logLevel, readLevel(fields));
    BOOST_LEAF_ASSIGN(out.seeds, readSeeds(fields));
    BOOST_LEAF_ASSIGN(out.control, readAddress(fields, "control"));
    BOOST_LEAF_CHECK(SocketAddress::parse(fmt::format("{}:{}", out.ip, out.peerPort)));
    if (out.role == NodeRole::Gateway) {
        BOOST_LEAF_CHECK(readGateway(fields, out));
    } else {
        BOOST_LEAF_CHECK(readController(fields, out));
    }
    return out;
}

Result<NodeSettings> NodeSettings::load(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return fail(ErrorCode::Io, fmt::format("cannot open the settings file '{}'", path));
    }
    std::stringstream buf;
    buf << in.rdbuf();
    return parse(buf.str());
}

std::vector<std::string> NodeSettings::seedIps() const
{
    std::vector<std::string> ips;
    for (const auto &it : seeds) {
        ips.push_back(it.ip);
    }
    return ips;
}

} // namespace Toucandeck
