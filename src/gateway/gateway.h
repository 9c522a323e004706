#pragma once

#include "gateway/backend_runner.h"
#include "gateway/fleet_client.h"
#include "gateway/peer_server.h"
#include "gateway/remote_calls.h"
#include "gateway/request_entry.h"

namespace Toucandeck
{

/// Addresses and terms of one gateway.
struct GatewayOptions
{
    std::string ip; ///< Of this VM.
    std::string failureDomain;
    std::string service; ///< On this VM, until its backend server announces itself.
    SocketAddress backend; ///< Of the backend server beside the gateway.
    SocketAddress outbound; ///< Where clients and the backend server send their requests.
    std::uint16_t peerPort = 0; ///< Of all gateways and controllers.
    std::vector<std::string> seeds; ///< IP addresses of some controllers.
    double retryShare = 0.08; ///< Repeats per request.
    Duration heartbeatInterval = kDefaultHeartbeatInterval; ///< Of the backend server.
    Duration shutdownLimit = std::chrono::milliseconds(5500); ///< A graceful stop ends after this, with work left.
};

/// What a gateway needs. All must outlive it.
struct GatewayParts
{
    EventLoop &loop;
    RandomSource &random;
    Logger &logger;
    Metrics &metrics;
    const HeaderNames &headers;
    const ManifestCodec &codec;
};

/// The process beside each backend server: entry for requests on this VM, gate to its backend server, and client of the controllers.
class Gateway
{
public:
    /// Errors: Io (an address cannot be bound).
    static Result<std::unique_ptr<Gateway>> create(const GatewayParts &parts, GatewayOptions options);
    ~Gateway();

    void heartbeat(const Heartbeat &it, LocalInstance::Answer answer);
    void deregister(const std::string &instance);

    /// Clients may be sent here.
    bool isReady() const;

    void setSeeds(std::vector<std::string> seeds);

    /// Stops gracefully: finishes its work, then calls back.
    void drain(std::function<void()> done);

    /// Sets the gauges that are read, not counted.
    void updateMetrics();

private:
    Gateway(const GatewayParts &parts, GatewayOptions options);
    Result<void> listen();
    void receive(const std::string &peer, const wire::PeerMessage &message);
    void peerClosed(const std::string &peer, bool established);
    void onInstanceStarted();
    void onInstanceChanged();
    void applyTerms();
    void updateGate();
    void watchInstance();
    void checkDrain();
    HttpLimits limits() const;

    GatewayParts m_parts;
    GatewayOptions m_options;
    PeerLinks m_links;
    FleetView m_view;
    LocalInstance m_instance;
    BackendRunner m_runner;
    UrgencyOrder m_order;
    Gate m_gate;
    RemoteCalls m_calls;
    LeastTimeChooser m_chooser;
    CallRouter m_router;
    FleetClient m_fleet;
    RequestEntry m_entry;
    std::unique_ptr<PeerServer> m_peers;
    std::unique_ptr<PipelinedServer> m_outbound;
    std::function<void()> m_drained;
    TimePoint m_drainSince;
    TimePoint m_lastBusy;
    EventLoop::Watch m_gateTimer;
    EventLoop::Watch m_watchTimer;
    EventLoop::Watch m_drainTimer;
};

} // namespace Toucandeck
