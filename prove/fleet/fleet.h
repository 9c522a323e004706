#pragma once

#include "child_process.h"
#include "link_relay.h"
#include "platform/platform_backend.h"

#include <map>
#include <set>

namespace Toucandeck::Prove
{

struct FleetOptions
{
    std::string program; ///< Path of toucandeck-platformd.
    std::string folder; ///< Folder for settings, disks and logs.
    int gateways = 8;
};

/// Real controllers and gateways as separate processes, each with a loopback address of its own, and a stand-in backend server beside
/// each gateway. Relays carry the connections of the gateways to the controllers and to the backend servers.
class Fleet
{
public:
    static constexpr int kControllers = 5;
    static constexpr int kDomains = 4;

    Fleet(EventLoop &loop, FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    Result<void> start();

    int gateways() const;
    using ChildProcess = Standin::ChildProcess;

    ChildProcess &controller(int i);
    ChildProcess &gateway(int i);
    Standin::PlatformBackend &backend(int i);
    /// The link from a gateway to its backend server.
    Standin::LinkRelay &backendLink(int i);
    /// The links of all gateways to a controller.
    Standin::LinkRelay &controllerLink(int i);
    SocketAddress outbound(int i) const;
    static std::string domainOf(int i);

    Result<void> restartController(int i);
    Result<void> restartGateway(int i);
    /// Sends SIGTERM to a gateway.
    void stopGateway(int i);
    /// Checks that a gateway has ended within its time for a shutdown, and restarts it.
    Result<void> restartStoppedGateway(int i);
    /// True in the first second after a start, in which the process may not handle signals yet.
    bool isGatewayStarting(int i) const;
    /// True from SIGTERM until the time for the shutdown is over.
    bool isStopping(int i) const;
    /// Kills a controller and erases its disk.
    void loseController(int i);

    /// Sends an operator's request to one controller after the other until one gives a final response (neither 307 nor 503).
    /// Returns its status; zero if there was none within the time limit.
    int sendOperatorRequest(const std::string &method, const std::string &target, const std::string &body, std::string *answer = nullptr);
    /// The controller that gave the latest final response to an operator's request.
    int latestResponder() const;
    std::string manifest(std::uint64_t version, std::uint64_t base) const;

    /// Waits until backend servers hold all keys of the keyed service and each gateway is ready; false if they do not within @p limit.
    bool awaitService(Duration limit);

    Standin::RunAudit &audit();

private:
    bool isServing();
    std::string ip(int number) const;
    std::string controllerIp(int i) const;
    std::string gatewayIp(int i) const;
    Result<std::unique_ptr<ChildProcess>> startProcess(const std::string &name, const nlohmann::json &settings);
    nlohmann::json commonSettings(const std::string &name, const std::string &ip) const;

    EventLoop &m_loop;
    FleetOptions m_options;
    Standin::RunAudit m_audit;
    std::vector<std::unique_ptr<ChildProcess>> m_controllers;
    std::vector<std::unique_ptr<ChildProcess>> m_gateways;
    std::vector<std::unique_ptr<Standin::LinkRelay>> m_backendLinks;
    std::vector<std::unique_ptr<Standin::LinkRelay>> m_controllerLinks;
    std::vector<std::unique_ptr<Standin::PlatformBackend>> m_backends;
    std::vector<TimePoint> m_gatewayStartTimes;
    std::map<int, bool> m_stoppingGateways; ///< True if the gateway was starting when it was stopped.
    int m_latestResponder = 0;
    bool m_firstStart = true;
};

} // namespace Toucandeck::Prove
