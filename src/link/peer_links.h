#pragma once

#include "link/message_channel.h"

#include "log/logger.h"

#include <map>

namespace Toucandeck
{

/// Outgoing connections to other processes, one per IP address, opened when something is sent there. After a failure the address is
/// not tried again for a short time.
class PeerLinks
{
public:
    using Received = std::function<void(const std::string &peer, const wire::PeerMessage &)>;
    /// @param established tells whether anything that was sent may have arrived.
    using Closed = std::function<void(const std::string &peer, bool established, const std::string &reason)>;

    /// @param own is the address of this process; the port is the same on all VMs.
    PeerLinks(EventLoop &loop, Logger &logger, SocketAddress own, Received received, Closed closed);
    ~PeerLinks();

    /// Sends to the process at this address; false if the address has just failed and is not tried again yet.
    bool send(const std::string &peer, const wire::PeerMessage &message);

    /// While the peer is awaited, a silent connection to it is ended. Calls add up.
    void awaitAnswer(const std::string &peer);
    void answered(const std::string &peer);

    /// From now on a silent connection to the peer is ended, whether or not an answer is awaited.
    void watch(const std::string &peer);

    /// Closes the connection, so that the next send() opens a new one. Handlers are not called.
    void drop(const std::string &peer);

    bool isOpen(const std::string &peer) const;
    bool mayTry(const std::string &peer) const;

private:
    struct Link
    {
        std::shared_ptr<MessageChannel> channel;
        int awaited = 0;
        bool watched = false;
        TimePoint retryAt;
        bool lostLogged = false;
    };

    void open(const std::string &peer, Link &link);
    void onReceived(const std::string &peer, const wire::PeerMessage &message);
    void onClosed(const std::string &peer, const std::shared_ptr<MessageChannel> &channel, const std::string &reason);
    void checkLiveness();

    EventLoop &m_loop;
    Logger &m_logger;
    SocketAddress m_own;
    Received m_received;
    Closed m_closed;
    std::map<std::string, Link> m_links;
    TimePoint m_lastCheck;
    EventLoop::Watch m_timer;
};

} // namespace Toucandeck
