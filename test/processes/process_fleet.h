#pragma once

#include "child_process.h"
#include "platform/platform_backend.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace Toucandeck
{

/// One controller and one gateway as processes of their own, and the backend server beside the gateway in the test's process. The
/// settings give the processes the memory of their VMs.
///
/// Another gateway, without a backend server, can be added. The backend server can be replaced by one of the test.
class ProcessFleet
{
public:
    static constexpr std::size_t kGatewayMemory = 160'000'000; ///< Bytes, of a gateway's VM.
    static constexpr std::size_t kControllerMemory = 256'000'000; ///< Bytes, of a controller's VM.

    /// Where clients connect.
    struct Entry
    {
        std::string name;
        SocketAddress address;
        std::string path;
    };

    /// @param binaryFolder build folder with the programs.
    explicit ProcessFleet(const std::string &binaryFolder);
    ~ProcessFleet();

    ProcessFleet(const ProcessFleet &) = delete;
    ProcessFleet &operator=(const ProcessFleet &) = delete;

    /// Leaves the address where the gateway reaches its backend server to the test. Call before start().
    /// @returns this address. What the test runs there has to serve ordinary requests, too.
    SocketAddress replaceBackend();

    /// Starts everything; true once a request is served.
    bool start();
    /// Starts a gateway without a backend server of its own; true once it serves a request.
    bool startEntryGateway();

    /// True once a request of an ordinary client has been served. Repeats refused requests until the time for a step is over.
    bool servesAnOrdinaryRequest();
    /// Status of the response to one upload, 0 without a response.
    int upload(std::size_t bytes);

    /// "route", "no_route", "ready", "heartbeat", "gateway_metrics", "operators", "controller_metrics" or "entry_gateway".
    Entry entry(const std::string &name) const;
    Standin::ChildProcess &processOf(const std::string &entry) const;
    /// Memory of the VM of the process that serves the entry, in bytes.
    static std::size_t memoryOf(const std::string &entry);

    EventLoop &loop();
    /// End of the log of a process, for messages of failed checks.
    std::string logOf(const std::string &entry) const;
    /// Lines of the log of the process that contain the text.
    std::vector<std::string> logLines(const std::string &entry, const std::string &text) const;

private:
    std::unique_ptr<Standin::ChildProcess> launch(const std::string &name, const nlohmann::json &settings);
    nlohmann::json commonSettings() const;
    nlohmann::json gatewaySettings(const std::string &ip, const std::string &service) const;
    bool servesAnOrdinaryRequest(const std::string &ip, Standin::ChildProcess &gateway);
    std::string logFileOf(const std::string &entry) const;
    bool putManifest();
    std::optional<HttpResponse> send(const SocketAddress &address, const HttpRequest &request);
    static bool isController(const std::string &entry);

    std::string m_binaryFolder;
    std::filesystem::path m_folder;
    BootClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    std::string m_controllerIp;
    std::string m_gatewayIp;
    std::string m_entryIp; ///< Of the gateway without a backend server.
    std::uint16_t m_backendPort; ///< Where the stand-in backend server listens.
    Standin::RunAudit m_audit;
    std::unique_ptr<Standin::PlatformBackend> m_backend;
    std::unique_ptr<Standin::ChildProcess> m_controller;
    std::unique_ptr<Standin::ChildProcess> m_gateway;
    std::unique_ptr<Standin::ChildProcess> m_entryGateway;
    int m_requests = 0;
};

} // namespace Toucandeck
