#include "fleet/controller.h"

namespace Toucandeck
{

Result<std::unique_ptr<Controller>> Controller::create(const ControllerParts &parts, ControllerOptions options)
{
    std::unique_ptr<Controller> controller(new Controller(parts, std::move(options)));
    BOOST_LEAF_CHECK(controller->start());
    return controller;
}

Controller::Controller(const ControllerParts &parts, ControllerOptions options)
    : m_parts(parts)
    , m_options(std::move(options))
    , m_links(
          parts.loop,
          parts.logger,
          SocketAddress{ m_options.group.ip, m_options.peerPort },
          [this](const std::string &peer, const wire::PeerMessage &message) { receive(peer, message); },
          [](const std::string &, bool, const std::string &) {})
    , m_barrier(parts.loop.clock(), m_options.maxConfirmationDelay)
{
}

Controller::~Controller() = default;

Result<void> Controller::start()
{
    const ReplicaGroupParts parts{ m_parts.loop, m_links, m_parts.random, m_parts.logger };
    BOOST_LEAF_ASSIGN(m_group, ReplicaGroup::create(parts, m_options.group));
    m_fleet = std::make_unique<FleetController>(m_parts.loop, *m_group, m_parts.codec, m_parts.logger, m_options.leases, m_barrier);
    m_orders = std::make_unique<ManifestOrders>(*m_group, m_parts.codec, m_parts.logger, m_barrier);
    BOOST_LEAF_ASSIGN(m_listener,
                      Listener::listen(m_parts.loop,
                                       { m_options.group.ip, m_options.peerPort },
                                       [this](int descriptor, const std::string &peer) { accept(descriptor, peer); }));
    return {};
}

void Controller::accept(int descriptor, const std::string &peer)
{
    MessageChannel::Handlers handlers;
    handlers.onMessage = [this](const Channel &channel, const wire::PeerMessage &message) { receive(channel, message); };
    handlers.onClosed = [this](const Channel &channel, const std::string &) {
        m_fleet->onClosed(channel);
        m_channels.erase(channel);
    };
    m_channels.insert(MessageChannel::accept(m_parts.loop, descriptor, peer, std::move(handlers)));
}

void Controller::receive(const Channel &channel, const wire::PeerMessage &message)
{
    if (message.has_announce()) {
        m_fleet->receive(channel, message.announce());
    } else if (message.has_replica()) {
        m_group->receive(channel->peer(), message.replica());
    } else if (message.has_join()) {
        wire::PeerMessage reply;
        *reply.mutable_join_reply() = m_group->receive(message.join());
        channel->send(reply);
    }
}

void Controller::receive(const std::string & /*peer*/, const wire::PeerMessage &message)
{
    if (message.has_join_reply()) {
        m_group->receive(message.join_reply());
    }
}

ManifestOrders &Controller::orders()
{
    return *m_orders;
}

ReplicaGroup &Controller::group()
{
    return *m_group;
}

const FleetController &Controller::fleet() const
{
    return *m_fleet;
}

} // namespace Toucandeck
