#pragma once

#include "instance.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Review
{

struct DeploymentOptions
{
    std::string program; ///< The program of the deploy file.
    std::string folder; ///< Temporary folder for settings, disks and logs.
    std::vector<std::string> services; ///< Of the instances, one beside each gateway.
    std::size_t controllers = 3;
    Milliseconds heartbeat{ 1500 };
    unsigned memoryMb = 260; ///< Of a machine.
    std::size_t reportBytes = 0; ///< Size of large answers of the instances.
};

/// A small deployment: real controllers and gateways as separate processes with loopback addresses of their own, each gateway with a
/// stand-in instance beside it, and an operator.
class Deployment
{
public:
    Deployment(DeploymentOptions options, Record &record);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts all processes and instances and puts the manifest. False if they don't get ready.
    bool start(const nlohmann::json &manifest);
    /// Sends SIGKILL to a gateway and starts it again; the instance beside it continues.
    bool restartGateway(std::size_t i);

    std::size_t gateways() const;
    pid_t gatewayPid(std::size_t i) const;
    bool isGatewayRunning(std::size_t i);
    Address outbound(std::size_t i) const;
    Address ready(std::size_t i) const;
    Address control(std::size_t i) const;
    Address backend(std::size_t i) const;
    Instance &instance(std::size_t i);
    /// Sends a body to the operator's interface of one controller after the other.
    int order(const std::string &target, const std::string &body);
    bool isReady(std::size_t i) const;

private:
    struct Process
    {
        std::string name;
        pid_t pid = -1;
    };

    std::string gatewayIp(std::size_t i) const;
    std::string controllerIp(std::size_t i) const;
    bool choosePorts();
    bool arePortsFree() const;
    nlohmann::json commonSettings(const std::string &name, const std::string &ip) const;
    bool startController(std::size_t i);
    bool startGateway(std::size_t i);
    bool startProcess(Process &process, const nlohmann::json &settings);
    static void endProcess(Process &process);

    DeploymentOptions m_options;
    Record &m_record;
    std::string m_network; ///< First three numbers of all addresses.
    std::uint16_t m_firstPort = 0;
    std::vector<Process> m_controllers;
    std::vector<Process> m_gateways;
    std::vector<std::unique_ptr<Instance>> m_instances;
};

/// The entries of a manifest.
nlohmann::json routeEntry(const std::string &host, const std::string &kind, const std::string &service, const std::string &timeout);
nlohmann::json serviceEntry(bool sharded);
nlohmann::json limitsEntry();

} // namespace Review
