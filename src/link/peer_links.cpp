#include "link/peer_links.h"

#include "link/events.h"

#include <utility>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{ 100 };
constexpr MessageChannel::LivenessTimeouts kLivenessTimeouts{ milliseconds(400), milliseconds(250), milliseconds(1000) };
constexpr milliseconds kRetryDelay{ 200 };
constexpr milliseconds kGoAwayRetryDelay{ 1000 }; ///< A peer that has sent GoAway mostly ends within this time.
/// If the time between two checks exceeds this, this process was suspended or starved, so missing data does not indicate a failure of the
/// peer.
constexpr milliseconds kSuspensionThreshold{ 400 };

} // namespace

PeerLinks::PeerLinks(EventLoop &loop, Logger &logger, SocketAddress ownAddress, MessageHandler messageHandler, CloseHandler closeHandler)
    : m_loop(loop)
    , m_logger(logger)
    , m_ownAddress(std::move(ownAddress))
    , m_messageHandler(std::move(messageHandler))
    , m_closeHandler(std::move(closeHandler))
    , m_lastCheck(loop.clock().now())
    , m_checkTimer(loop.every(kCheckInterval, [this] { checkLiveness(); }))
{
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::setObserver(ConnectionObserver *observer)
{
    m_observer = observer;
}

bool PeerLinks::send(const std::string &peer, const wire::PeerMessage &message)
{
    auto &link = m_links[peer];
    if (!link.connection.channel) {
        if (m_loop.clock().now() < link.retryAt) {
            return false;
        }
        open(peer, link);
    }
    link.connection.channel->send(message);
    return true;
}

void PeerLinks::sendOn(const std::string &peer, ConnectionId connection, const wire::PeerMessage &message)
{
    if (const auto *it = find(peer, connection)) {
        it->channel->send(message);
    }
}

void PeerLinks::open(const std::string &peer, Link &link)
{
    const auto id = m_nextId++;
    MessageChannel::Handlers handlers;
    handlers.onMessage = [this, peer, id](const auto &, const wire::PeerMessage &message) { onReceived(peer, id, message); };
    handlers.onClosed = [this, peer, id](const auto &channel, const std::string &reason) { onClosed(peer, id, *channel, reason); };
    link.goneAway = false;
    link.connection = { id, peer, MessageChannel::connect(m_loop, { peer, m_ownAddress.port }, m_ownAddress.ip, std::move(handlers)) };
}

PeerLinks::Connection *PeerLinks::find(const std::string &peer, ConnectionId id)
{
    if (const auto it = m_links.find(peer); id != 0 && it != m_links.end() && it->second.connection.id == id) {
        return &it->second.connection;
    }
    const auto it = m_detachedConnections.find(id);
    return it == m_detachedConnections.end() ? nullptr : &it->second;
}

void PeerLinks::awaitAnswer(const std::string &peer)
{
    auto &connection = m_links[peer].connection;
    if (connection.pendingAnswers++ == 0 && connection.channel) {
        connection.channel->resetLiveness();
    }
}

void PeerLinks::onAnswerReceived(const std::string &peer, ConnectionId connection)
{
    auto *it = find(peer, connection);
    if (it != nullptr && it->pendingAnswers > 0) {
        --it->pendingAnswers;
    }
    closeIfUnused(connection);
}

void PeerLinks::closeIfUnused(ConnectionId id)
{
    const auto it = m_detachedConnections.find(id);
    if (it != m_detachedConnections.end() && it->second.pendingAnswers == 0) {
        it->second.channel->close();
        m_detachedConnections.erase(it);
    }
}

void PeerLinks::monitor(const std::string &peer)
{
    auto &link = m_links[peer];
    if (!std::exchange(link.monitored, true) && link.connection.channel) {
        link.connection.channel->resetLiveness();
    }
}

void PeerLinks::closeConnection(const std::string &peer)
{
    const auto it = m_links.find(peer);
    if (it != m_links.end() && it->second.connection.channel) {
        it->second.connection.channel->close();
        it->second.connection = {};
    }
}

bool PeerLinks::isOpen(const std::string &peer) const
{
    return connectionTo(peer) != 0;
}

ConnectionId PeerLinks::connectionTo(const std::string &peer) const
{
    const auto it = m_links.find(peer);
    return it == m_links.end() ? 0 : it->second.connection.id;
}

bool PeerLinks::hasGoneAway(const std::string &peer) const
{
    const auto it = m_links.find(peer);
    return it != m_links.end() && it->second.goneAway;
}

std::optional<TimePoint> PeerLinks::partialReceiveTime(const std::string &peer) const
{
    const auto it = m_links.find(peer);
    const bool open = it != m_links.end() && it->second.connection.channel;
    return open ? it->second.connection.channel->partialReceiveTime() : std::nullopt;
}

void PeerLinks::onReceived(const std::string &peer, ConnectionId connection, const wire::PeerMessage &message)
{
    auto &link = m_links[peer];
    if (link.lossLogged) {
        link.lossLogged = false;
        m_logger.write(LinkEvents::kPeerRegained, { field("peer", peer) });
    }
    if (message.has_go_away()) {
        onGoAway(peer, connection, message.go_away().last_call());
        return;
    }
    m_messageHandler(peer, message);
}

void PeerLinks::onGoAway(const std::string &peer, ConnectionId id, std::uint64_t lastCall)
{
    auto &link = m_links[peer];
    if (link.connection.id == id) {
        link.goneAway = true;
        detach(link, kGoAwayRetryDelay);
    }
    if (m_observer != nullptr) {
        m_observer->onGoAway(id, lastCall);
    }
    closeIfUnused(id);
}

void PeerLinks::detach(Link &link, Duration retryDelay)
{
    const auto id = link.connection.id;
    m_detachedConnections[id] = std::exchange(link.connection, {});
    link.retryAt = m_loop.clock().now() + retryDelay;
}

void PeerLinks::onClosed(const std::string &peer, ConnectionId id, const MessageChannel &channel, const std::string &reason)
{
    const bool established = channel.wasEstablished();
    if (m_detachedConnections.erase(id) != 0) {
        notifyClosed(id, established);
        return;
    }
    auto &link = m_links[peer];
    if (link.connection.id != id) {
        return;
    }
    link.connection = {};
    link.retryAt = m_loop.clock().now() + kRetryDelay;
    logLoss(link, peer, reason);
    notifyClosed(id, established);
    m_closeHandler(peer, established, reason);
}

void PeerLinks::logLoss(Link &link, const std::string &peer, const std::string &reason)
{
    if (!std::exchange(link.lossLogged, true)) {
        m_logger.write(LinkEvents::kPeerLost, { field("peer", peer), field("reason", reason) });
    }
}

void PeerLinks::onSilent(const std::string &peer, ConnectionId id)
{
    auto &link = m_links[peer];
    if (link.connection.id == id) {
        detach(link, Duration::zero()); // A new connection may work even if this one never recovers.
    }
    m_detachedConnections.at(id).silent = true;
    logLoss(link, peer, "silent");
    m_observer->onConnectionSilent(id);
}

void PeerLinks::notifyClosed(ConnectionId id, bool established)
{
    if (m_observer != nullptr) {
        m_observer->onConnectionClosed(id, established);
    }
}

void PeerLinks::checkLiveness()
{
    const auto now = m_loop.clock().now();
    const bool wasSuspended = now - m_lastCheck > kSuspensionThreshold;
    m_lastCheck = now;
    std::vector<Connection> monitored;
    for (const auto &[peer, link] : m_links) {
        if ((link.monitored || link.connection.pendingAnswers > 0) && link.connection.channel) {
            monitored.push_back(link.connection);
        }
    }
    for (const auto &[id, connection] : m_detachedConnections) {
        if (!connection.silent) {
            monitored.push_back(connection);
        }
    }
    for (const auto &it : monitored) {
        if (wasSuspended) {
            it.channel->resetLiveness();
        }
        checkLiveness(it);
    }
}

void PeerLinks::checkLiveness(const Connection &connection)
{
    // An earlier check may have closed or detached the connection.
    const auto *current = find(connection.peer, connection.id);
    if (current == nullptr) {
        return;
    }
    const bool answersPending = m_observer != nullptr && current->pendingAnswers > 0;
    if (answersPending && connection.channel->isSilent(kLivenessTimeouts)) {
        onSilent(connection.peer, connection.id);
    } else {
        connection.channel->checkLiveness(kLivenessTimeouts);
    }
}

} // namespace Toucandeck
