#pragma once

#include "http.h"
#include "recorder.h"

#include <map>
#include <sys/types.h>

namespace Review
{

/// A process of the system with its settings file.
class Process
{
public:
    Process(std::string command, std::string settingsFile, std::string logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start();
    void signal(int number) const;
    /// True if the process ends within this time.
    bool waitForEnd(Milliseconds timeout);
    bool isRunning();
    pid_t pid() const;
    /// Resident memory in bytes; 0 if the process has ended.
    std::uint64_t residentBytes() const;

private:
    std::string m_command;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = -1;
};

/// A VM of the class `sidecar`: its gateway and the addresses of its backend server.
struct GatewayVm
{
    std::string service;
    std::string zone;
    Address backend;
    Address outbound;
    Address ready;
    Address control;
    std::unique_ptr<Process> process;
};

struct ServicePlan
{
    std::string name;
    Milliseconds timeout; ///< Of its routes.
};

/// Five controllers and some gateways as the deploy file starts them, on loopback addresses of their own, with the settings of the
/// template and the memory of a small deployment.
class Deployment
{
public:
    static constexpr std::uint64_t kMemoryMb = 260; ///< Of a VM of the class `sidecar`.

    Deployment(Recorder &recorder, const std::vector<std::pair<std::string, std::string>> &servicesAndZones);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    void start();
    /// Sends a manifest with a `safe` and an `unsafe` route for each service until it is confirmed. The host is NAME.example, the path
    /// prefix is the type of the route.
    bool putManifest(const std::vector<ServicePlan> &services);
    /// Sends this manifest until it is confirmed.
    bool putDocument(const std::string &body);
    /// True once all gateways say that they are ready.
    bool waitUntilReady(Milliseconds timeout);

    std::vector<GatewayVm> &gateways();

private:
    void chooseAddresses(std::size_t gateways);
    void createController(std::size_t index);
    void createGateway(std::size_t index, const std::string &service, const std::string &zone);
    std::string seeds() const;
    std::optional<Message> callOperator(const Address &first, const std::string &request);

    Recorder &m_recorder;
    std::string m_folder;
    std::map<std::string, std::string> m_commands; ///< By role, from the deploy file.
    std::string m_network; ///< First three parts of the addresses.
    std::map<std::string, std::uint16_t> m_ports; ///< By use; the same on all VMs.
    std::vector<Address> m_controls; ///< Of the controllers.
    std::vector<std::unique_ptr<Process>> m_controllers;
    std::vector<GatewayVm> m_gateways;
};

/// A service in a manifest, as `"NAME":{...}`.
std::string serviceItem(const std::string &name);

/// The part of a manifest behind its routes and services, from the comma on.
std::string manifestEnd(int baseVersion);

/// Headers of a request of a client.
std::vector<HeaderField> clientHeaders(const std::string &service, const std::string &requestId, Milliseconds deadline);

} // namespace Review
