#include "link/peer_links.h"

#include "link/events.h"

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{ 100 };
constexpr MessageChannel::Liveness kLiveness{ milliseconds(400), milliseconds(250), milliseconds(1000) };
constexpr milliseconds kRetryPause{ 200 };
/// A gap this long between two checks means that this process was suspended or starved, so silence says nothing about the peer.
constexpr milliseconds kOwnPause{ 400 };

} // namespace

PeerLinks::PeerLinks(EventLoop &loop, Logger &logger, SocketAddress own, Received received, Closed closed)
    : m_loop(loop)
    , m_logger(logger)
    , m_own(std::move(own))
    , m_received(std::move(received))
    , m_closed(std::move(closed))
    , m_lastCheck(loop.clock().now())
    , m_timer(loop.every(kCheckInterval, [this] { checkLiveness(); }))
{
}

PeerLinks::~PeerLinks() = default;

bool PeerLinks::send(const std::string &peer, const wire::PeerMessage &message)
{
    auto &link = m_links[peer];
    if (!link.channel) {
        if (m_loop.clock().now() < link.retryAt) {
            return false;
        }
        open(peer, link);
    }
    link.channel->send(message);
    return true;
}

void PeerLinks::open(const std::string &peer, Link &link)
{
    MessageChannel::Handlers handlers;
    handlers.received = [this, peer](const auto &, const wire::PeerMessage &message) { onReceived(peer, message); };
    handlers.closed = [this, peer](const auto &channel, const std::string &reason) { onClosed(peer, channel, reason); };
    link.channel = MessageChannel::connect(m_loop, { peer, m_own.port }, m_own.ip, std::move(handlers));
}

void PeerLinks::awaitAnswer(const std::string &peer)
{
    auto &link = m_links[peer];
    if (link.awaited++ == 0 && link.channel) {
        link.channel->resetLiveness();
    }
}

void PeerLinks::answered(const std::string &peer)
{
    const auto it = m_links.find(peer);
    if (it != m_links.end() && it->second.awaited > 0) {
        --it->second.awaited;
    }
}

void PeerLinks::watch(const std::string &peer)
{
    m_links[peer].watched = true;
}

void PeerLinks::drop(const std::string &peer)
{
    const auto it = m_links.find(peer);
    if (it != m_links.end() && it->second.channel) {
        it->second.channel->close();
        it->second.channel.reset();
    }
}

bool PeerLinks::isOpen(const std::string &peer) const
{
    const auto it = m_links.find(peer);
    return it != m_links.end() && it->second.channel;
}

bool PeerLinks::mayTry(const std::string &peer) const
{
    const auto it = m_links.find(peer);
    return it == m_links.end() || it->second.channel || m_loop.clock().now() >= it->second.retryAt;
}

void PeerLinks::onReceived(const std::string &peer, const wire::PeerMessage &message)
{
    auto &link = m_links[peer];
    if (link.lostLogged) {
        link.lostLogged = false;
        m_logger.write(LinkEvents::kPeerRegained, { field("peer", peer) });
    }
    m_received(peer, message);
}

void PeerLinks::onClosed(const std::string &peer, const std::shared_ptr<MessageChannel> &channel, const std::string &reason)
{
    auto &link = m_links[peer];
    if (link.channel != channel) {
        return;
    }
    link.channel.reset();
    link.awaited = 0;
    link.retryAt = m_loop.clock().now() + kRetryPause;
    if (!link.lostLogged) {
        link.lostLogged = true;
        m_logger.write(LinkEvents::kPeerLost, { field("peer", peer), field("reason", reason) });
    }
    m_closed(peer, channel->wasEstablished(), reason);
}

void PeerLinks::checkLiveness()
{
    const auto now = m_loop.clock().now();
    const bool paused = now - m_lastCheck > kOwnPause;
    m_lastCheck = now;
    std::vector<std::shared_ptr<MessageChannel>> awaited;
    for (const auto &[peer, link] : m_links) {
        if ((link.watched || link.awaited > 0) && link.channel) {
            awaited.push_back(link.channel);
        }
    }
    for (const auto &it : awaited) {
        if (paused) {
            it->resetLiveness();
        }
        it->checkLiveness(kLiveness);
    }
}

} // namespace Toucandeck
