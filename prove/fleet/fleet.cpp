#include "fleet.h"

#include "platform/one_shot_client.h"

#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace Toucandeck::Prove
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::uint16_t kPeerPort = 17280; ///< At the address of a controller, the port of the relay in front of it.
constexpr std::uint16_t kMetricsPort = 17281;
constexpr std::uint16_t kControlPort = 17282;
constexpr std::uint16_t kOutboundPort = 17283;
constexpr std::uint16_t kReadyPort = 17284;
constexpr std::uint16_t kBackendPort = 17285; ///< Port of the relay in front of the backend server.
constexpr std::uint16_t kBackendServerPort = 17286; ///< Port of the backend server itself.
constexpr std::uint16_t kControllerPeerPort = 17287; ///< Port for connections between controllers.

constexpr int kFirstGateway = 20; ///< Last number of the address of the first gateway.
constexpr Duration kOperatorRequestTimeout = 20s;
constexpr Duration kCallTimeout = 1s;
constexpr Duration kGatewayStartTime = 1s; ///< The rules do not count a process that ends this soon after its start.

} // namespace

Fleet::Fleet(EventLoop &loop, FleetOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_controllers(kControllers)
    , m_gateways(static_cast<std::size_t>(m_options.gateways))
    , m_gatewayStartTimes(m_gateways.size())
{
    std::filesystem::create_directories(m_options.folder);
}

Fleet::~Fleet() = default;

std::string Fleet::ip(int number) const
{
    const int pid = ::getpid();
    return fmt::format("127.{}.{}.{}", 1 + pid / 250 % 250, pid % 250, number);
}

std::string Fleet::controllerIp(int i) const
{
    return ip(1 + i);
}

std::string Fleet::gatewayIp(int i) const
{
    return ip(kFirstGateway + i);
}

std::string Fleet::domainOf(int i)
{
    return fmt::format("fd-{}", i % kDomains);
}

json Fleet::commonSettings(const std::string &name, const std::string &ip) const
{
    json seeds = json::array();
    for (int i = 0; i < 3; ++i) {
        seeds.push_back(SocketAddress{ controllerIp(i), kControlPort }.toString());
    }
    return { { "process", name },       { "ip", ip },
             { "peerPort", kPeerPort }, { "metricsPort", kMetricsPort },
             { "seeds", seeds },        { "control", SocketAddress{ ip, kControlPort }.toString() } };
}

Result<std::unique_ptr<Standin::ChildProcess>> Fleet::startProcess(const std::string &name, const json &settings)
{
    const auto path = fmt::format("{}/{}.json", m_options.folder, name);
    std::ofstream(path) << settings.dump(2);
    return ChildProcess::start({ m_options.program, "--settings", path }, fmt::format("{}/{}.log", m_options.folder, name));
}

Result<void> Fleet::restartController(int i)
{
    const auto name = fmt::format("controller-{}", i);
    auto settings = commonSettings(name, controllerIp(i));
    settings["role"] = "controller";
    settings["peerPort"] = kControllerPeerPort;
    settings["failureDomain"] = domainOf(i);
    settings["dataFolder"] = fmt::format("{}/disk-{}", m_options.folder, i);
    settings["firstStart"] = m_firstStart;
    settings["toleratedLosses"] = 2;
    std::filesystem::create_directories(settings["dataFolder"].get<std::string>());
    BOOST_LEAF_ASSIGN(m_controllers[static_cast<std::size_t>(i)], startProcess(name, settings));
    return {};
}

Result<void> Fleet::restartGateway(int i)
{
    const auto name = fmt::format("gateway-{}", i);
    const auto address = gatewayIp(i);
    auto settings = commonSettings(name, address);
    settings["role"] = "gateway";
    settings["failureDomain"] = domainOf(i);
    settings["heartbeatInterval"] = fmt::format("{}ms", Standin::PlatformBackendOptions{}.heartbeat.count());
    settings["service"] = i % 2 == 0 ? "keyed" : "plain";
    settings["backend"] = SocketAddress{ address, kBackendPort }.toString();
    settings["outbound"] = SocketAddress{ address, kOutboundPort }.toString();
    settings["ready"] = SocketAddress{ address, kReadyPort }.toString();
    m_gatewayStartTimes[static_cast<std::size_t>(i)] = m_loop.clock().now();
    BOOST_LEAF_ASSIGN(m_gateways[static_cast<std::size_t>(i)], startProcess(name, settings));
    return {};
}

void Fleet::stopGateway(int i)
{
    m_stoppingGateways[i] = isGatewayStarting(i);
    gateway(i).signal(SIGTERM);
}

Result<void> Fleet::restartStoppedGateway(int i)
{
    if (gateway(i).isRunning()) {
        m_audit.violation(fmt::format("gateway {} still ran at the end of the time for its shutdown", i));
    } else if (gateway(i).exitCode() != 0 && !m_stoppingGateways[i]) {
        m_audit.violation(fmt::format("gateway {} ended its shutdown with exit code {}", i, gateway(i).exitCode()));
    }
    m_stoppingGateways.erase(i);
    gateway(i).signal(SIGKILL);
    return restartGateway(i);
}

bool Fleet::isGatewayStarting(int i) const
{
    return m_loop.clock().now() - m_gatewayStartTimes[static_cast<std::size_t>(i)] < kGatewayStartTime;
}

bool Fleet::isStopping(int i) const
{
    return m_stoppingGateways.count(i) != 0;
}

void Fleet::loseController(int i)
{
    controller(i).signal(SIGKILL);
    controller(i).waitForEnd(1s);
    std::filesystem::remove_all(fmt::format("{}/disk-{}", m_options.folder, i));
}

Result<void> Fleet::start()
{
    for (int i = 0; i < kControllers; ++i) {
        const SocketAddress relay{ controllerIp(i), kPeerPort };
        const SocketAddress target{ controllerIp(i), kControllerPeerPort };
        BOOST_LEAF_AUTO(link, Standin::LinkRelay::create(m_loop.base(), relay, target, Duration::zero()));
        m_controllerLinks.push_back(std::move(link));
        BOOST_LEAF_CHECK(restartController(i));
    }
    std::vector<const Standin::PlatformBackend *> all;
    for (int i = 0; i < gateways(); ++i) {
        Standin::PlatformBackendOptions options;
        options.listen = { gatewayIp(i), kBackendServerPort };
        options.announced = { gatewayIp(i), kBackendPort };
        BOOST_LEAF_AUTO(link, Standin::LinkRelay::create(m_loop.base(), options.announced, options.listen, Duration::zero()));
        m_backendLinks.push_back(std::move(link));
        options.control = { gatewayIp(i), kControlPort };
        options.service = i % 2 == 0 ? "keyed" : "plain";
        options.failureDomain = domainOf(i);
        m_backends.push_back(std::make_unique<Standin::PlatformBackend>(m_loop, options, m_audit));
        all.push_back(m_backends.back().get());
        BOOST_LEAF_CHECK(restartGateway(i));
    }
    for (const auto &it : m_backends) {
        it->setPeers(all);
        BOOST_LEAF_CHECK(it->start());
    }
    if (sendOperatorRequest("POST", "/toucandeck/config/put", manifest(1, 0)) != 200) {
        return fail(ErrorCode::Unavailable, "the first manifest was not accepted");
    }
    m_firstStart = false;
    return {};
}

int Fleet::latestResponder() const
{
    return m_latestResponder;
}

std::string Fleet::manifest(std::uint64_t version, std::uint64_t base) const
{
    const auto route = [](const char *host, const char *kind, const char *service) -> json {
        return { { "host", host },       { "pathPrefix", "/x/" }, { "routeType", kind },       { "timeout", "2s" },
                 { "service", service }, { "maxAttempts", 2 },    { "targetLatency", "500ms" } };
    };
    json body{ { "version", version }, { "baseVersion", base } };
    body["routes"]["read-keyed"] = route("read.keyed", "safe", "keyed");
    body["routes"]["write-keyed"] = route("write.keyed", "unsafe", "keyed");
    body["routes"]["read-plain"] = route("read.plain", "safe", "plain");
    body["routes"]["write-plain"] = route("write.plain", "unsafe", "plain");
    body["services"]["keyed"] = { { "healthPath", "/health" }, { "sharded", true } };
    body["services"]["plain"] = { { "healthPath", "/health" } };
    return body.dump();
}

int Fleet::sendOperatorRequest(const std::string &method, const std::string &target, const std::string &body, std::string *answer)
{
    const auto end = m_loop.clock().now() + kOperatorRequestTimeout;
    for (int i = 0; m_loop.clock().now() < end; ++i) {
        Standin::OneShotClient client(m_loop, { controllerIp(i % kControllers), kControlPort });
        const auto response = client.send({ method, target, { { "Host", "x" } }, body }, kCallTimeout);
        if (response && response->status != 307 && response->status != 503) {
            m_latestResponder = i % kControllers;
            if (answer != nullptr) {
                *answer = response->body;
            }
            return response->status;
        }
        m_loop.runUntil([] { return false; }, 50ms);
    }
    return 0;
}

bool Fleet::awaitService(Duration limit)
{
    const auto end = m_loop.clock().now() + limit;
    while (!isServing()) {
        if (m_loop.clock().now() >= end) {
            return false;
        }
        m_loop.runUntil([] { return false; }, 100ms);
    }
    return true;
}

bool Fleet::isServing()
{
    for (std::uint32_t key = 0; key < kKeyCount; key += 257) {
        const auto holds = [key](const auto &it) { return it->holds(key); };
        if (std::none_of(m_backends.begin(), m_backends.end(), holds)) {
            return false;
        }
    }
    for (int i = 0; i < gateways(); ++i) {
        const auto response = Standin::OneShotClient(m_loop, { gatewayIp(i), kReadyPort })
                                  .send({ "GET", "/toucandeck/ready", { { "Host", "x" } }, {} }, kCallTimeout);
        if (!response || response->status != 200) {
            return false;
        }
    }
    return true;
}

int Fleet::gateways() const
{
    return m_options.gateways;
}

Standin::ChildProcess &Fleet::controller(int i)
{
    return *m_controllers[static_cast<std::size_t>(i)];
}

Standin::ChildProcess &Fleet::gateway(int i)
{
    return *m_gateways[static_cast<std::size_t>(i)];
}

Standin::PlatformBackend &Fleet::backend(int i)
{
    return *m_backends[static_cast<std::size_t>(i)];
}

Standin::LinkRelay &Fleet::backendLink(int i)
{
    return *m_backendLinks[static_cast<std::size_t>(i)];
}

Standin::LinkRelay &Fleet::controllerLink(int i)
{
    return *m_controllerLinks[static_cast<std::size_t>(i)];
}

SocketAddress Fleet::outbound(int i) const
{
    return { gatewayIp(i), kOutboundPort };
}

Standin::RunAudit &Fleet::audit()
{
    return m_audit;
}

} // namespace Toucandeck::Prove
