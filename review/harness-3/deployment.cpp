#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{

namespace
{

using nlohmann::json;

enum Port : std::uint16_t {
    PeerPort,
    MetricsPort,
    ControlPort,
    OutboundPort,
    ReadyPort,
    BackendPort,
    PortCount
};

constexpr std::size_t kSeeds = 3;
constexpr int kFirstGatewayNumber = 20;
constexpr Milliseconds kStartLimit{ 25000 };
constexpr Milliseconds kCallLimit{ 2500 };
constexpr int kPortChoices = 50;
constexpr std::uint16_t kLowestPort = 12000;
constexpr std::uint16_t kHighestPort = 30000;

} // namespace

json routeEntry(const std::string &host, const std::string &kind, const std::string &service, const std::string &timeout)
{
    return { { "host", host },       { "pathPrefix", "/x/" }, { "routeType", kind }, { "timeout", timeout }, { "targetLatency", "400ms" },
             { "service", service }, { "priority", 1 },       { "maxAttempts", 2 } };
}

json serviceEntry(bool sharded)
{
    json entry{ { "healthPath", "/health" }, { "maxConnections", 110 }, { "protocol", "h1" }, { "tls", false },
                { "coldPeriod", "3s" },      { "coldPerS", 23.0 } };
    if (sharded) {
        entry["sharded"] = true;
        entry["warm"] = "5s";
        entry["grants"] = "heartbeat";
    }
    return entry;
}

json limitsEntry()
{
    return { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 67108864 }, { "headerTimeout", "3000ms" }, { "idleTimeout", "15000ms" } };
}

Deployment::Deployment(DeploymentOptions options, Record &record)
    : m_options(std::move(options))
    , m_record(record)
    , m_controllers(m_options.controllers)
    , m_gateways(m_options.services.size())
{
}

Deployment::~Deployment()
{
    m_instances.clear();
    for (auto *all : { &m_gateways, &m_controllers }) {
        for (auto &it : *all) {
            endProcess(it);
        }
    }
}

std::string Deployment::gatewayIp(std::size_t i) const
{
    return m_network + std::to_string(kFirstGatewayNumber + i);
}

std::string Deployment::controllerIp(std::size_t i) const
{
    return m_network + std::to_string(1 + i);
}

bool Deployment::choosePorts()
{
    std::random_device random;
    for (int n = 0; n < kPortChoices; ++n) {
        m_network = "127." + std::to_string(1 + random() % 250) + "." + std::to_string(random() % 250) + ".";
        m_firstPort = static_cast<std::uint16_t>(kLowestPort + random() % (kHighestPort - kLowestPort));
        if (arePortsFree()) {
            return true;
        }
    }
    return false;
}

bool Deployment::arePortsFree() const
{
    std::vector<std::string> ips;
    for (std::size_t i = 0; i < m_controllers.size(); ++i) {
        ips.push_back(controllerIp(i));
    }
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        ips.push_back(gatewayIp(i));
    }
    for (const auto &ip : ips) {
        for (int port = 0; port < PortCount; ++port) {
            if (!Socket::listen({ ip, static_cast<std::uint16_t>(m_firstPort + port) }).isOpen()) {
                return false;
            }
        }
    }
    return true;
}

json Deployment::commonSettings(const std::string &name, const std::string &ip) const
{
    json seeds = json::array();
    for (std::size_t i = 0; i < std::min(kSeeds, m_controllers.size()); ++i) {
        seeds.push_back(Address{ controllerIp(i), static_cast<std::uint16_t>(m_firstPort + ControlPort) }.text());
    }
    return { { "process", name },
             { "ip", ip },
             { "peerPort", m_firstPort + PeerPort },
             { "metricsPort", m_firstPort + MetricsPort },
             { "seeds", seeds },
             { "memoryLimit", static_cast<std::uint64_t>(m_options.memoryMb) * 1000000 },
             { "control", Address{ ip, static_cast<std::uint16_t>(m_firstPort + ControlPort) }.text() } };
}

bool Deployment::startController(std::size_t i)
{
    auto &process = m_controllers[i];
    process.name = "controller-" + std::to_string(i);
    auto settings = commonSettings(process.name, controllerIp(i));
    settings["role"] = "controller";
    settings["failureDomain"] = "zone-" + std::to_string(i);
    settings["dataFolder"] = m_options.folder + "/disk-" + std::to_string(i);
    settings["firstStart"] = true;
    settings["toleratedLosses"] = (m_controllers.size() - 1) / 2;
    settings["longestHold"] = "10000ms";
    settings["confirmationDelay"] = "800ms";
    std::filesystem::create_directories(settings["dataFolder"].get<std::string>());
    return startProcess(process, settings);
}

bool Deployment::startGateway(std::size_t i)
{
    auto &process = m_gateways[i];
    process.name = "gateway-" + std::to_string(i);
    auto settings = commonSettings(process.name, gatewayIp(i));
    settings["role"] = "gateway";
    settings["failureDomain"] = "zone-" + std::to_string(i % m_controllers.size());
    settings["service"] = m_options.services[i];
    settings["backend"] = backend(i).text();
    settings["outbound"] = outbound(i).text();
    settings["ready"] = ready(i).text();
    settings["heartbeatInterval"] = std::to_string(m_options.heartbeat.count()) + "ms";
    settings["shutdownLimit"] = "6s";
    settings["balancing"] = "capacity";
    settings["nestedCalls"] = "protected";
    settings["admission"] = "serve-late";
    return startProcess(process, settings);
}

bool Deployment::startProcess(Process &process, const json &settings)
{
    const auto path = m_options.folder + "/" + process.name + ".json";
    const auto log = m_options.folder + "/" + process.name + ".log";
    std::ofstream(path) << settings.dump(2) << std::flush;
    const auto variable = "TOUCANDECK_BOOT=" + path;
    const auto home = "HOME=" + m_options.folder;
    process.pid = ::fork();
    if (process.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        std::array<char *, 2> argv{ const_cast<char *>(m_options.program.c_str()), nullptr };
        std::array<char *, 4> env{
            const_cast<char *>(variable.c_str()), const_cast<char *>(home.c_str()), const_cast<char *>("PATH=/usr/bin:/bin"), nullptr
        };
        ::execve(argv[0], argv.data(), env.data());
        ::_exit(127);
    }
    m_record.write(process.name + " starts, process " + std::to_string(process.pid));
    return process.pid > 0;
}

void Deployment::endProcess(Process &process)
{
    if (process.pid > 0) {
        ::kill(process.pid, SIGKILL);
        ::waitpid(process.pid, nullptr, 0);
        process.pid = -1;
    }
}

bool Deployment::start(const json &manifest)
{
    if (!choosePorts()) {
        return false;
    }
    for (std::size_t i = 0; i < m_controllers.size(); ++i) {
        if (!startController(i)) {
            return false;
        }
    }
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        InstanceOptions options;
        options.id = "i-" + std::to_string(i);
        options.listen = backend(i);
        options.control = control(i);
        options.service = m_options.services[i];
        options.zone = "zone-" + std::to_string(i % m_controllers.size());
        options.heartbeat = m_options.heartbeat;
        options.reportBytes = m_options.reportBytes;
        m_instances.push_back(std::make_unique<Instance>(options, m_record));
        if (!startGateway(i) || !m_instances.back()->start()) {
            return false;
        }
    }
    const auto end = Clock::now() + kStartLimit;
    if (order("/toucandeck/config/put", manifest.dump()) != 200) {
        return false;
    }
    const auto allReady = [this] {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (!isReady(i)) {
                return false;
            }
        }
        return true;
    };
    while (!allReady()) {
        if (Clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    m_record.write("all gateways are ready");
    return true;
}

bool Deployment::restartGateway(std::size_t i)
{
    m_record.write("SIGKILL to " + m_gateways[i].name);
    endProcess(m_gateways[i]);
    return startGateway(i);
}

std::size_t Deployment::gateways() const
{
    return m_gateways.size();
}

pid_t Deployment::gatewayPid(std::size_t i) const
{
    return m_gateways[i].pid;
}

bool Deployment::isGatewayRunning(std::size_t i)
{
    auto &process = m_gateways[i];
    if (process.pid > 0 && ::waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
        process.pid = -1;
    }
    return process.pid > 0;
}

Address Deployment::outbound(std::size_t i) const
{
    return { gatewayIp(i), static_cast<std::uint16_t>(m_firstPort + OutboundPort) };
}

Address Deployment::ready(std::size_t i) const
{
    return { gatewayIp(i), static_cast<std::uint16_t>(m_firstPort + ReadyPort) };
}

Address Deployment::control(std::size_t i) const
{
    return { gatewayIp(i), static_cast<std::uint16_t>(m_firstPort + ControlPort) };
}

Address Deployment::backend(std::size_t i) const
{
    return { gatewayIp(i), static_cast<std::uint16_t>(m_firstPort + BackendPort) };
}

Instance &Deployment::instance(std::size_t i)
{
    return *m_instances[i];
}

bool Deployment::isReady(std::size_t i) const
{
    const auto answer = exchange(ready(i), "GET /toucandeck/ready HTTP/1.1\r\nHost: ready\r\n\r\n", Milliseconds(1000));
    return answer && answer->status() == 200;
}

int Deployment::order(const std::string &target, const std::string &body)
{
    const auto request = "POST " + target + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto end = Clock::now() + kStartLimit;
    for (std::size_t n = 0; Clock::now() < end; ++n) {
        const Address address{ controllerIp(n % m_controllers.size()), static_cast<std::uint16_t>(m_firstPort + ControlPort) };
        const auto answer = exchange(address, request, kCallLimit);
        if (answer && answer->status() != 307 && answer->status() < 500) {
            m_record.write("the operator sends " + target + ": " + std::to_string(answer->status()));
            return answer->status();
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return 0;
}

} // namespace Review
