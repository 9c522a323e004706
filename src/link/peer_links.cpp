#include "link/peer_links.h"

#include "link/events.h"

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{ 100 };
constexpr MessageChannel::LivenessTimeouts kLivenessTimeouts{ milliseconds(400), milliseconds(250), milliseconds(1000) };
constexpr milliseconds kRetryDelay{ 200 };
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
    handlers.onMessage = [this, peer](const auto &, const wire::PeerMessage &message) { onReceived(peer, message); };
    handlers.onClosed = [this, peer](const auto &channel, const std::string &reason) { onClosed(peer, channel, reason); };
    link.channel = MessageChannel::connect(m_loop, { peer, m_ownAddress.port }, m_ownAddress.ip, std::move(handlers));
}

void PeerLinks::awaitAnswer(const std::string &peer)
{
    auto &link = m_links[peer];
    if (link.pendingAnswers++ == 0 && link.channel) {
        link.channel->resetLiveness();
    }
}

void PeerLinks::onAnswerReceived(const std::string &peer)
{
    const auto it = m_links.find(peer);
    if (it != m_links.end() && it->second.pendingAnswers > 0) {
        --it->second.pendingAnswers;
    }
}

void PeerLinks::monitor(const std::string &peer)
{
    m_links[peer].monitored = true;
}

void PeerLinks::closeConnection(const std::string &peer)
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

std::optional<TimePoint> PeerLinks::partialReceiveTime(const std::string &peer) const
{
    const auto it = m_links.find(peer);
    return it != m_links.end() && it->second.channel ? it->second.channel->partialReceiveTime() : std::nullopt;
}

void PeerLinks::onReceived(const std::string &peer, const wire::PeerMessage &message)
{
    auto &link = m_links[peer];
    if (link.lossLogged) {
        link.lossLogged = false;
        m_logger.write(LinkEvents::kPeerRegained, { field("peer", peer) });
    }
    m_messageHandler(peer, message);
}

void PeerLinks::onClosed(const std::string &peer, const std::shared_ptr<MessageChannel> &channel, const std::string &reason)
{
    auto &link = m_links[peer];
    if (link.channel != channel) {
        return;
    }
    link.channel.reset();
    link.pendingAnswers = 0;
    link.retryAt = m_loop.clock().now() + kRetryDelay;
    if (!link.lossLogged) {
        link.lossLogged = true;
        m_logger.write(LinkEvents::kPeerLost, { field("peer", peer), field("reason", reason) });
    }
    m_closeHandler(peer, channel->wasEstablished(), reason);
}

void PeerLinks::checkLiveness()
{
    const auto now = m_loop.clock().now();
    const bool wasSuspended = now - m_lastCheck > kSuspensionThreshold;
    m_lastCheck = now;
    std::vector<std::shared_ptr<MessageChannel>> monitored;
    for (const auto &[peer, link] : m_links) {
        if ((link.monitored || link.pendingAnswers > 0) && link.channel) {
            monitored.push_back(link.channel);
        }
    }
    for (const auto &it : monitored) {
        if (wasSuspended) {
            it->resetLiveness();
        }
        it->checkLiveness(kLivenessTimeouts);
    }
}

} // namespace Toucandeck
