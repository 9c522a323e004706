#pragma once

#include "link/message_channel.h"

#include "log/logger.h"

#include <map>
#include <optional>

namespace Toucandeck
{

/// Outgoing connections to other processes, one per IP address, opened on the first message. After a failure, the address is retried
/// only after a short delay.
class PeerLinks
{
public:
    using MessageHandler = std::function<void(const std::string &peer, const wire::PeerMessage &)>;
    /// @param established true if the connection had been established, so that sent messages may have arrived.
    using CloseHandler = std::function<void(const std::string &peer, bool established, const std::string &reason)>;

    /// @param ownAddress address of this process; all processes use the same port.
    PeerLinks(EventLoop &loop, Logger &logger, SocketAddress ownAddress, MessageHandler messageHandler, CloseHandler closeHandler);
    ~PeerLinks();

    /// Sends a message, opening a connection if necessary. Returns false if the address has recently failed and the retry delay has not
    /// passed.
    bool send(const std::string &peer, const wire::PeerMessage &message);

    /// Registers one pending answer of the peer. While any is pending, the connection is closed if the peer sends no data.
    void awaitAnswer(const std::string &peer);
    /// Removes one pending answer.
    void onAnswerReceived(const std::string &peer);

    /// Checks the liveness of the connection to the peer from now on, also while no answer is pending.
    void monitor(const std::string &peer);

    /// Closes the connection without calling handlers; the next send() opens a new one.
    void closeConnection(const std::string &peer);

    bool isOpen(const std::string &peer) const;
    /// Time at which bytes of a message of the peer arrived that is not complete yet; none if no message is being received.
    std::optional<TimePoint> partialReceiveTime(const std::string &peer) const;

private:
    struct Link
    {
        std::shared_ptr<MessageChannel> channel;
        int pendingAnswers = 0;
        bool monitored = false;
        TimePoint retryAt;
        bool lossLogged = false;
    };

    void open(const std::string &peer, Link &link);
    void onReceived(const std::string &peer, const wire::PeerMessage &message);
    void onClosed(const std::string &peer, const std::shared_ptr<MessageChannel> &channel, const std::string &reason);
    void checkLiveness();

    EventLoop &m_loop;
    Logger &m_logger;
    SocketAddress m_ownAddress;
    MessageHandler m_messageHandler;
    CloseHandler m_closeHandler;
    std::map<std::string, Link> m_links;
    TimePoint m_lastCheck;
    EventLoop::Watch m_checkTimer;
};

} // namespace Toucandeck
