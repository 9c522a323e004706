#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr std::size_t kControllers = 5;
constexpr std::size_t kSeeds = 3;
constexpr std::size_t kFirstGateway = 100; ///< Last part of the address of the first gateway.
constexpr Milliseconds kCallTimeout{ 1000 };
constexpr Milliseconds kRetryPause{ 250 };
constexpr int kOrderAttempts = 80;
constexpr const char *kControllerMemory = "256000000";

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

/// Reads the lines `run = "..."` of the roles in the deploy file.
std::map<std::string, std::string> readCommands()
{
    std::map<std::string, std::string> commands;
    std::ifstream in("deploy/system.toml");
    std::string role;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("[roles.")) {
            role = line.substr(7, line.find(']') - 7);
        } else if (line.starts_with("run = ")) {
            const auto from = line.find('"') + 1;
            commands[role] = line.substr(from, line.rfind('"') - from);
        }
    }
    return commands;
}

std::string pathOf(const std::string &url)
{
    const auto slash = url.find('/', url.find("//") + 2);
    return slash == std::string::npos ? "/" : url.substr(slash);
}

Address addressOf(const std::string &url)
{
    const auto from = url.find("//") + 2;
    const auto text = url.substr(from, url.find('/', from) - from);
    const auto colon = text.find(':');
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::atoi(text.substr(colon + 1).c_str())) };
}

/// Name and value of a route in the manifest.
std::string routeItem(const ServicePlan &service, const std::string &type)
{
    const auto timeout = quoted(std::to_string(service.timeout.count()) + "ms");
    return quoted("r-" + service.name + "-" + type) + ":{\"host\":" + quoted(service.name + ".example")
        + ",\"pathPrefix\":" + quoted("/" + type + "/") + ",\"routeType\":" + quoted(type) + ",\"timeout\":" + timeout
        + ",\"targetLatency\":" + timeout + ",\"priority\":1,\"service\":" + quoted(service.name) + ",\"maxAttempts\":2}";
}

} // namespace

Process::Process(std::string command, std::string settingsFile, std::string logFile)
    : m_command(std::move(command))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
{
}

Process::~Process()
{
    if (isRunning()) {
        signal(SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void Process::start()
{
    const auto variable = "TOUCANDECK_BOOT=" + m_settingsFile;
    const char *const arguments[] = { m_command.c_str(), nullptr };
    const char *const variables[] = { variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C.UTF-8", nullptr };
    const auto parent = ::getpid();
    m_pid = ::fork();
    if (m_pid != 0) {
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(1);
    }
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execve(arguments[0], const_cast<char *const *>(arguments), const_cast<char *const *>(variables));
    ::_exit(127);
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

bool Process::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) != 0) {
        m_pid = -1;
    }
    return m_pid > 0;
}

bool Process::waitForEnd(Milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (isRunning()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return true;
}

pid_t Process::pid() const
{
    return m_pid;
}

std::uint64_t Process::residentBytes() const
{
    constexpr std::size_t kNameBytes = 15; // The kernel keeps no more of a name.
    std::string name;
    std::ifstream("/proc/" + std::to_string(m_pid) + "/comm") >> name;
    if (name != std::filesystem::path(m_command).filename().string().substr(0, kNameBytes)) {
        return 0; // Until the program is loaded, the process has the memory of this one.
    }
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    in >> size >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

Deployment::Deployment(Recorder &recorder, const std::vector<std::pair<std::string, std::string>> &servicesAndZones)
    : m_recorder(recorder)
    , m_commands(readCommands())
{
    std::string name = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr || m_commands.count("gateway") == 0 || m_commands.count("controller") == 0) {
        throw std::runtime_error("no temporary folder, or the deploy file has no role gateway or controller");
    }
    m_folder = name;
    chooseAddresses(servicesAndZones.size());
    for (std::size_t i = 0; i < kControllers; ++i) {
        m_controls.push_back({ m_network + std::to_string(i + 1), m_ports["control"] });
    }
    for (std::size_t i = 0; i < kControllers; ++i) {
        createController(i);
    }
    for (std::size_t i = 0; i < servicesAndZones.size(); ++i) {
        createGateway(i, servicesAndZones[i].first, servicesAndZones[i].second);
    }
}

Deployment::~Deployment()
{
    m_gateways.clear();
    m_controllers.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void Deployment::chooseAddresses(std::size_t gateways)
{
    const auto pid = static_cast<unsigned>(::getpid());
    m_network = "127." + std::to_string(1 + pid % 250) + "." + std::to_string(pid / 250 % 250) + ".";
    std::uint16_t next = 20000 + static_cast<std::uint16_t>(pid % 5000);
    for (const char *use : { "outbound", "backend", "ready", "control", "peer", "metrics" }) {
        const auto isFree = [&](std::uint16_t port) {
            for (std::size_t host = 1; host < kFirstGateway + gateways; ++host) {
                const int descriptor = listenOn({ m_network + std::to_string(host), port });
                if (descriptor < 0) {
                    return false;
                }
                ::close(descriptor);
            }
            return true;
        };
        while (!isFree(next)) {
            ++next;
        }
        m_ports[use] = next++;
    }
}

std::string Deployment::seeds() const
{
    std::string text;
    for (std::size_t i = 0; i < kSeeds; ++i) {
        text += (i == 0 ? "" : ",") + quoted(m_controls[i].text());
    }
    return "[" + text + "]";
}

void Deployment::createController(std::size_t index)
{
    const auto name = "core-" + std::to_string(index + 1);
    const auto settings = m_folder + "/" + name + ".json";
    std::filesystem::create_directory(m_folder + "/" + name);
    std::ofstream(settings) << "{\"process\":" << quoted(name) << ",\"role\":\"controller\",\"ip\":" << quoted(m_controls[index].ip)
                            << ",\"failureDomain\":\"zone-" << index % 4 << "\",\"peerPort\":" << m_ports["peer"]
                            << ",\"metricsPort\":" << m_ports["metrics"] << ",\"seeds\":" << seeds()
                            << ",\"dataFolder\":" << quoted(m_folder + "/" + name)
                            << ",\"firstStart\":true,\"toleratedLosses\":2,\"longestHold\":\"10000ms\",\"confirmationDelay\":\"800ms\""
                            << ",\"memoryLimit\":" << kControllerMemory << ",\"control\":" << quoted(m_controls[index].text()) << "}";
    m_controllers.push_back(std::make_unique<Process>(m_commands["controller"], settings, m_folder + "/" + name + ".log"));
}

void Deployment::createGateway(std::size_t index, const std::string &service, const std::string &zone)
{
    const auto name = "sidecar-" + std::to_string(index + 1);
    const auto settings = m_folder + "/" + name + ".json";
    const auto ip = m_network + std::to_string(kFirstGateway + index);
    GatewayVm vm{
        service, zone, { ip, m_ports["backend"] }, { ip, m_ports["outbound"] }, { ip, m_ports["ready"] }, { ip, m_ports["control"] },
        nullptr
    };
    std::ofstream(settings) << "{\"process\":" << quoted(name) << ",\"role\":\"gateway\",\"ip\":" << quoted(ip)
                            << ",\"failureDomain\":" << quoted(zone) << ",\"peerPort\":" << m_ports["peer"]
                            << ",\"metricsPort\":" << m_ports["metrics"] << ",\"seeds\":" << seeds() << ",\"service\":" << quoted(service)
                            << ",\"backend\":" << quoted(vm.backend.text()) << ",\"outbound\":" << quoted(vm.outbound.text())
                            << ",\"ready\":" << quoted(vm.ready.text())
                            << ",\"heartbeatInterval\":\"870ms\",\"shutdownLimit\":\"6s\",\"balancing\":\"capacity\""
                            << ",\"nestedCalls\":\"protected\",\"admission\":\"serve-late\",\"memoryLimit\":" << kMemoryMb
                            << "000000,\"control\":" << quoted(vm.control.text()) << "}";
    vm.process = std::make_unique<Process>(m_commands["gateway"], settings, m_folder + "/" + name + ".log");
    m_gateways.push_back(std::move(vm));
}

void Deployment::start()
{
    for (const auto &it : m_controllers) {
        it->start();
    }
    for (const auto &it : m_gateways) {
        it.process->start();
    }
    m_recorder.write("started " + std::to_string(m_controllers.size()) + " controllers and " + std::to_string(m_gateways.size())
                     + " gateways on " + m_network + "0/24");
}

std::optional<Message> Deployment::callOperator(const Address &first, const std::string &request)
{
    auto answer = call(first, request, kCallTimeout);
    if (answer && answer->status() == 307) {
        const auto location = answer->header("Location");
        auto redirected = request;
        const auto from = redirected.find(' ') + 1;
        redirected.replace(from, redirected.find(' ', from) - from, pathOf(location));
        answer = call(addressOf(location), redirected, kCallTimeout);
    }
    return answer;
}

bool Deployment::putManifest(const std::vector<ServicePlan> &services)
{
    std::string routes;
    std::string items;
    for (const auto &it : services) {
        for (const char *type : { "safe", "unsafe" }) {
            routes.append(routes.empty() ? "" : ",").append(routeItem(it, type));
        }
        items.append(items.empty() ? "" : ",").append(serviceItem(it.name));
    }
    return putDocument("{\"version\":3,\"routes\":{" + routes + "},\"services\":{" + items + "}" + manifestEnd(0));
}

bool Deployment::putDocument(const std::string &body)
{
    const auto request
        = requestText("POST", "/toucandeck/config/put", { { "Host", "control" }, { "Content-Type", "application/json" } }, body);
    for (int i = 0; i < kOrderAttempts; ++i) {
        const auto answer = callOperator(m_controls[static_cast<std::size_t>(i) % m_controls.size()], request);
        if (answer && answer->status() == 200) {
            m_recorder.write("the manifest is confirmed");
            return true;
        }
        std::this_thread::sleep_for(kRetryPause);
    }
    m_recorder.write("the manifest was not confirmed");
    return false;
}

bool Deployment::waitUntilReady(Milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    const auto request = requestText("GET", "/toucandeck/ready", { { "Host", "ready" } }, {});
    const auto isReady = [&request](const GatewayVm &vm) {
        const auto answer = call(vm.ready, request, kCallTimeout);
        return answer && answer->status() == 200;
    };
    while (!std::all_of(m_gateways.begin(), m_gateways.end(), isReady)) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return true;
}

std::vector<GatewayVm> &Deployment::gateways()
{
    return m_gateways;
}

std::string serviceItem(const std::string &name)
{
    return quoted(name)
        + ":{\"healthPath\":\"/health\",\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false,\"coldPeriod\":\"3s\",\"coldPerS\":17.0}";
}

std::string manifestEnd(int baseVersion)
{
    return ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},"
           "\"baseVersion\":"
        + std::to_string(baseVersion) + "}";
}

std::vector<HeaderField> clientHeaders(const std::string &service, const std::string &requestId, Milliseconds deadline)
{
    return { { "Host", service + ".example" },
             { "X-Toucandeck-Request-Id", requestId },
             { "X-Toucandeck-Deadline-Ms", std::to_string(deadline.count()) } };
}

} // namespace Review
