#include "process_fleet.h"

#include "platform/one_shot_client.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace Toucandeck
{

namespace
{

using nlohmann::json;
using Standin::ChildProcess;
using Standin::OneShotClient;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{ 60 }; ///< Ends a step that would never succeed.
constexpr seconds kRequestLimit{ 10 };
constexpr milliseconds kRepeatInterval{ 100 };

constexpr std::uint16_t kPeerPort = 17280;
constexpr std::uint16_t kControlPort = 17281;
constexpr std::uint16_t kOutboundPort = 17282;
constexpr std::uint16_t kBackendPort = 17283;
constexpr std::uint16_t kReadyPort = 17284;
constexpr std::uint16_t kMetricsPort = 17285;
constexpr std::uint16_t kReplacedBackendPort = 17286; ///< Of the stand-in, if a server of the test takes its place.

/// Loopback address that is unique to this process.
std::string nodeIp(int number)
{
    const int pid = ::getpid();
    return fmt::format("127.{}.{}.{}", 1 + pid / 250 % 250, pid % 250, number);
}

} // namespace

ProcessFleet::ProcessFleet(const std::string &binaryFolder)
    : m_binaryFolder(binaryFolder)
    , m_folder(std::filesystem::temp_directory_path() / fmt::format("process-fleet-{}", ::getpid()))
    , m_loop(EventLoop::create(m_clock).value())
    , m_controllerIp(nodeIp(1))
    , m_gatewayIp(nodeIp(2))
    , m_entryIp(nodeIp(3))
    , m_backendPort(kBackendPort)
{
    std::filesystem::create_directories(m_folder);
}

ProcessFleet::~ProcessFleet()
{
    m_entryGateway.reset();
    m_gateway.reset();
    m_controller.reset();
    m_backend.reset();
    std::filesystem::remove_all(m_folder);
}

std::unique_ptr<ChildProcess> ProcessFleet::launch(const std::string &name, const json &settings)
{
    const auto file = (m_folder / (name + ".json")).string();
    std::ofstream(file) << settings.dump();
    return ChildProcess::start({ m_binaryFolder + "/platform/toucandeck-platformd", "--settings", file },
                               (m_folder / (name + ".log")).string())
        .value();
}

json ProcessFleet::commonSettings() const
{
    return { { "peerPort", kPeerPort },
             { "metricsPort", kMetricsPort },
             { "logLevel", "warning" },
             { "seeds", { SocketAddress{ m_controllerIp, kControlPort }.toString() } } };
}

json ProcessFleet::gatewaySettings(const std::string &ip, const std::string &service) const
{
    auto settings = commonSettings();
    settings.update({ { "process", "gateway" },
                      { "role", "gateway" },
                      { "ip", ip },
                      { "failureDomain", "b" },
                      { "memoryLimit", kGatewayMemory },
                      { "service", service },
                      { "backend", SocketAddress{ ip, kBackendPort }.toString() },
                      { "outbound", SocketAddress{ ip, kOutboundPort }.toString() },
                      { "ready", SocketAddress{ ip, kReadyPort }.toString() },
                      { "shutdownLimit", "6s" },
                      { "control", SocketAddress{ ip, kControlPort }.toString() } });
    return settings;
}

SocketAddress ProcessFleet::replaceBackend()
{
    m_backendPort = kReplacedBackendPort;
    return { m_gatewayIp, kBackendPort };
}

bool ProcessFleet::start()
{
    auto controller = commonSettings();
    controller.update({ { "process", "controller" },
                        { "role", "controller" },
                        { "ip", m_controllerIp },
                        { "failureDomain", "a" },
                        { "memoryLimit", kControllerMemory },
                        { "dataFolder", (m_folder / "data").string() },
                        { "firstStart", true },
                        { "toleratedLosses", 0 },
                        { "control", SocketAddress{ m_controllerIp, kControlPort }.toString() } });
    m_controller = launch("controller", controller);
    m_gateway = launch("gateway", gatewaySettings(m_gatewayIp, "svc"));
    Standin::PlatformBackendOptions options;
    options.listen = { m_gatewayIp, m_backendPort };
    options.announced = { m_gatewayIp, kBackendPort };
    options.control = { m_gatewayIp, kControlPort };
    options.service = "svc";
    options.failureDomain = "b";
    m_backend = std::make_unique<Standin::PlatformBackend>(*m_loop, options, m_audit);
    m_backend->start().value();
    return putManifest() && servesAnOrdinaryRequest();
}

bool ProcessFleet::startEntryGateway()
{
    m_entryGateway = launch("entry-gateway", gatewaySettings(m_entryIp, "other"));
    return servesAnOrdinaryRequest(m_entryIp, *m_entryGateway);
}

std::optional<HttpResponse> ProcessFleet::send(const SocketAddress &address, const HttpRequest &request)
{
    return OneShotClient(*m_loop, address).send(request, kRequestLimit);
}

bool ProcessFleet::putManifest()
{
    const json manifest{
        { "version", 1 },
        { "baseVersion", 0 },
        { "limits", { { "maxHeaderBytes", 16'384 }, { "maxBodyBytes", 67'108'864 }, { "headerTimeout", "3s" }, { "idleTimeout", "15s" } } },
        { "routes",
          { { "r",
              { { "host", "a.example" },
                { "pathPrefix", "/x/" },
                { "routeType", "safe" },
                { "timeout", "5s" },
                { "service", "svc" },
                { "maxAttempts", 2 } } },
            { "u",
              { { "host", "a.example" },
                { "pathPrefix", "/u/" },
                { "routeType", "unsafe" },
                { "timeout", "5s" },
                { "service", "svc" },
                { "maxAttempts", 2 } } } } },
        { "services", { { "svc", { { "healthPath", "/health" }, { "sharded", false } } } } },
    };
    const auto end = m_clock.now() + kLimit;
    while (m_clock.now() < end) {
        const auto response
            = send({ m_controllerIp, kControlPort }, { "POST", "/toucandeck/config/put", { { "Host", "x" } }, manifest.dump() });
        if (response && response->status == 200) {
            return true;
        }
        m_loop->runUntil([] { return false; }, kRepeatInterval);
    }
    return false;
}

bool ProcessFleet::servesAnOrdinaryRequest()
{
    return servesAnOrdinaryRequest(m_gatewayIp, *m_gateway);
}

bool ProcessFleet::servesAnOrdinaryRequest(const std::string &ip, ChildProcess &gateway)
{
    const auto end = m_clock.now() + kLimit;
    while (m_clock.now() < end && gateway.isRunning()) {
        HttpRequest request{ "GET", "/x/1", { { "Host", "a.example" } }, {} };
        request.headers.push_back({ "X-Toucandeck-Request-Id", fmt::format("id-{}", ++m_requests) });
        request.headers.push_back({ "X-Toucandeck-Deadline-Ms", "5000" });
        const auto response = send({ ip, kOutboundPort }, request);
        if (response && response->status == 200) {
            return true;
        }
        m_loop->runUntil([] { return false; }, kRepeatInterval);
    }
    return false;
}

int ProcessFleet::upload(std::size_t bytes)
{
    HttpRequest request{ "POST", "/x/1", { { "Host", "a.example" } }, std::string(bytes, 'x') };
    request.headers.push_back({ "X-Toucandeck-Request-Id", fmt::format("id-{}", ++m_requests) });
    request.headers.push_back({ "X-Toucandeck-Deadline-Ms", "5000" });
    const auto response = send({ m_gatewayIp, kOutboundPort }, request);
    return response ? response->status : 0;
}

ProcessFleet::Entry ProcessFleet::entry(const std::string &name) const
{
    const Entry all[] = {
        { "route", { m_gatewayIp, kOutboundPort }, "/x/1" },
        { "no_route", { m_gatewayIp, kOutboundPort }, "/none" },
        { "ready", { m_gatewayIp, kReadyPort }, "/" },
        { "heartbeat", { m_gatewayIp, kControlPort }, "/toucandeck/instances/i-1/heartbeat" },
        { "gateway_metrics", { m_gatewayIp, kMetricsPort }, "/metrics" },
        { "operators", { m_controllerIp, kControlPort }, "/toucandeck/config/put" },
        { "controller_metrics", { m_controllerIp, kMetricsPort }, "/metrics" },
        { "entry_gateway", { m_entryIp, kOutboundPort }, "/x/1" },
    };
    return *std::find_if(std::begin(all), std::end(all), [&name](const auto &it) { return it.name == name; });
}

bool ProcessFleet::isController(const std::string &entry)
{
    return entry == "operators" || entry == "controller_metrics";
}

ChildProcess &ProcessFleet::processOf(const std::string &entry) const
{
    return isController(entry) ? *m_controller : entry == "entry_gateway" ? *m_entryGateway : *m_gateway;
}

std::size_t ProcessFleet::memoryOf(const std::string &entry)
{
    return isController(entry) ? kControllerMemory : kGatewayMemory;
}

EventLoop &ProcessFleet::loop()
{
    return *m_loop;
}

std::string ProcessFleet::logFileOf(const std::string &entry) const
{
    const auto *name = isController(entry) ? "controller" : entry == "entry_gateway" ? "entry-gateway" : "gateway";
    return (m_folder / fmt::format("{}.log", name)).string();
}

std::string ProcessFleet::logOf(const std::string &entry) const
{
    constexpr std::size_t kShown = 1000;
    std::ifstream in(logFileOf(entry));
    const std::string text(std::istreambuf_iterator<char>(in), {});
    return text.substr(text.size() - std::min(text.size(), kShown));
}

std::vector<std::string> ProcessFleet::logLines(const std::string &entry, const std::string &text) const
{
    std::ifstream in(logFileOf(entry));
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        if (line.find(text) != std::string::npos) {
            lines.push_back(line);
        }
    }
    return lines;
}

} // namespace Toucandeck
