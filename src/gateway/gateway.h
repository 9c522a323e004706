#pragma once

#include "gateway/admission_policy.h"
#include "gateway/admission_report.h"
#include "gateway/backend_runner.h"
#include "gateway/client_request_handler.h"
#include "gateway/fleet_client.h"
#include "gateway/grant_caller.h"
#include "gateway/peer_server.h"
#include "gateway/remote_calls.h"
#include "gateway/routing_report.h"

namespace Toucandeck
{

/// Addresses and settings of one gateway.
struct GatewayOptions
{
    std::string ip; ///< IP address of this VM.
    std::string failureDomain;
    std::string service; ///< Service of the backend server on this VM.
    SocketAddress backend; ///< Address of the backend server on this VM.
    SocketAddress outbound; ///< Address to which clients and the backend server send their requests.
    std::uint16_t peerPort = 0; ///< The same at all gateways and controllers.
    std::vector<std::string> seeds; ///< IP addresses of some controllers.
    double retryShare = 0.08; ///< Retries per request.
    Balancing balancing = Balancing::LeastTime;
    NestedCalls nestedCalls = NestedCalls::Independent;
    AdmissionPolicy admission = AdmissionPolicy::RefuseLate;
    std::shared_ptr<RequestMemory> requestMemory; ///< Limits the memory of the clients; null for no limit.
    Duration heartbeatInterval = kDefaultHeartbeatInterval; ///< Interval of the backend server's heartbeats.
    Duration shutdownLimit = std::chrono::milliseconds(5500); ///< A graceful stop ends after this time, even with pending work.
};

/// Dependencies of a gateway. All must outlive it.
struct GatewayParts
{
    EventLoop &loop;
    RandomSource &random;
    Logger &logger;
    Metrics &metrics;
    const HeaderNames &headers;
    const ManifestCodec &codec;
    const GrantCodec &grantCodec;
};

/// The gateway on the VM of a backend server: handles the requests that originate on this VM, admits calls to the backend server, and
/// reports to the controllers.
class Gateway
{
public:
    /// Errors: Io (an address cannot be bound).
    static Result<std::unique_ptr<Gateway>> create(const GatewayParts &parts, GatewayOptions options);
    ~Gateway();

    /// One of @p answer and @p unconfirmed is called, perhaps after a delay; see LocalInstance::handleHeartbeat().
    void handleHeartbeat(const Heartbeat &it, LocalInstance::AnswerHandler answer, std::function<void()> unconfirmed = nullptr);
    /// @copydoc LocalInstance::deregister()
    InstanceVerdict deregister(const DepartureNotice &notice, Departures::Done done);
    /// Logs and counts a heartbeat or notice that cannot be read.
    void onUnreadableMessage(const std::string &instance, const std::string &error);

    /// True if clients may send requests to this gateway.
    bool isReady() const;

    void setSeeds(std::vector<std::string> seeds);

    /// Stops gracefully: calls @p done once the pending work is complete, at the latest after the shutdown limit.
    void drain(std::function<void()> done);

    /// Number of requests that clients have sent and whose answers are not yet written.
    std::size_t unfinishedRequests() const;

    /// Updates the gauges, which show the current state.
    void updateMetrics();

private:
    Gateway(const GatewayParts &parts, GatewayOptions options);
    Result<void> listen();
    void receive(const std::string &peer, const wire::PeerMessage &message);
    /// Name of the route of a call, or its service if it has none.
    std::string kindOf(const Call &call) const;
    ParentRequests *parents();
    void onInstanceStarted();
    void onInstanceChanged();
    void onViewChanged();
    /// Has the parts forget what they keep by names that the manifest does not contain.
    void onManifestChanged(const Manifest &manifest);
    void applyPolicy();
    void processAdmissionQueue();
    void checkInstance();
    void checkDrain();
    HttpLimits httpLimits() const;

    GatewayParts m_parts;
    GatewayOptions m_options;
    PeerLinks m_links;
    FleetView m_view;
    GrantCaller m_grantCaller;
    LocalInstance m_instance;
    BackendRunner m_runner;
    std::unique_ptr<QueueOrder> m_order;
    ReferenceWork m_referenceWork;
    ParentRequests m_parents;
    BackendAdmission m_admission;
    AdmissionReport m_admissionReport;
    RoutingReport m_routingReport;
    RemoteCalls m_calls;
    LeastTimeChooser m_chooser;
    CallRouter m_router;
    FleetClient m_fleet;
    ClientRequestHandler m_requestHandler;
    std::unique_ptr<PeerServer> m_peers;
    std::unique_ptr<PipelinedServer> m_outbound;
    std::function<void()> m_drainHandler;
    std::uint64_t m_unreadableMessages = 0; ///< Heartbeats and notices.
    std::uint64_t m_manifestVersion = 0; ///< Of the latest manifest that the parts were told of.
    TimePoint m_drainStart;
    TimePoint m_lastBusy;
    EventLoop::Watch m_admissionTimer;
    EventLoop::Watch m_reportTimer;
    EventLoop::Watch m_instanceTimer;
    EventLoop::Watch m_drainTimer;
};

} // namespace Toucandeck
