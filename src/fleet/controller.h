#pragma once

#include "fleet/fleet_controller.h"
#include "fleet/manifest_orders.h"
#include "fleet/replica_group.h"
#include "link/listener.h"

#include <memory>
#include <set>

namespace Toucandeck
{

/// Settings of one controller.
struct ControllerOptions
{
    ReplicaGroupOptions group;
    KeyLeaseOptions leases;
    Duration maxConfirmationDelay{}; ///< Longest delay of the confirmation of a manifest until the gateways apply it.
    std::uint16_t peerPort = 0; ///< Port on which all gateways and controllers accept connections from each other.
};

/// Dependencies of a controller, all of which must outlive it.
struct ControllerParts
{
    EventLoop &loop;
    RandomSource &random;
    Logger &logger;
    const ManifestCodec &codec;
};

/// One controller process: its replica of the log, its connections to the gateways, and the execution of operators' orders.
class Controller
{
public:
    /// Errors: those of ReplicaGroup::create(); Io (the address cannot be bound).
    static Result<std::unique_ptr<Controller>> create(const ControllerParts &parts, ControllerOptions options);
    ~Controller();

    ManifestOrders &orders();
    ReplicaGroup &group();
    const FleetController &fleet() const;

private:
    using Channel = std::shared_ptr<MessageChannel>;

    Controller(const ControllerParts &parts, ControllerOptions options);
    Result<void> start();
    void accept(int descriptor, const std::string &peer);
    void receive(const Channel &channel, const wire::PeerMessage &message);
    void receive(const std::string &peer, const wire::PeerMessage &message);

    ControllerParts m_parts;
    ControllerOptions m_options;
    PeerLinks m_links;
    std::unique_ptr<ReplicaGroup> m_group;
    ManifestBarrier m_barrier;
    std::unique_ptr<FleetController> m_fleet;
    std::unique_ptr<ManifestOrders> m_orders;
    std::set<Channel> m_channels;
    std::unique_ptr<Listener> m_listener;
};

} // namespace Toucandeck
