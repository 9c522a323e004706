#pragma once

#include "link/message_channel.h"

#include "log/logger.h"

#include <map>
#include <optional>

namespace Toucandeck
{

/// Identifies one connection; never zero and never reused.
using ConnectionId = std::uint64_t;

/// Is notified about the connections on which answers are awaited.
class ConnectionObserver
{
public:
    virtual ~ConnectionObserver() = default;

    /// @param established true if the connection had been established, so that sent messages may have arrived.
    virtual void onConnectionClosed(ConnectionId connection, bool established) = 0;
    /// The peer sends no data. The connection takes no further messages, but answers that arrive on it later are delivered.
    virtual void onConnectionSilent(ConnectionId connection) = 0;
    /// The peer shuts down: it does not run calls with an id above @p lastCall and still answers the others.
    virtual void onGoAway(ConnectionId connection, std::uint64_t lastCall) = 0;
};

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

    /// The observer must outlive this object or be replaced.
    void setObserver(ConnectionObserver *observer);

    /// Sends a message, opening a connection if necessary. Returns false if the address has recently failed and the retry delay has not
    /// passed.
    bool send(const std::string &peer, const wire::PeerMessage &message);

    /// Registers one pending answer on the open connection to the peer. While any is pending and the peer sends no data, the connection is
    /// closed or, if there is an observer, kept for these answers only.
    void awaitAnswer(const std::string &peer);
    /// Removes one pending answer.
    void onAnswerReceived(const std::string &peer, ConnectionId connection);

    /// Sends a message on this connection only; does nothing if it is closed.
    void sendOn(const std::string &peer, ConnectionId connection, const wire::PeerMessage &message);

    /// Checks the liveness of the connection to the peer from now on, also while no answer is pending.
    void monitor(const std::string &peer);

    /// Closes the connection without calling handlers; the next send() opens a new one.
    void closeConnection(const std::string &peer);

    bool isOpen(const std::string &peer) const;
    /// The open connection to the peer; zero if there is none.
    ConnectionId connectionTo(const std::string &peer) const;
    /// True after the peer has sent GoAway, until a new connection is opened.
    bool hasGoneAway(const std::string &peer) const;
    /// Time at which bytes of a message of the peer arrived that is not complete yet; none if no message is being received.
    std::optional<TimePoint> partialReceiveTime(const std::string &peer) const;

private:
    struct Connection
    {
        ConnectionId id = 0;
        std::string peer;
        std::shared_ptr<MessageChannel> channel;
        int pendingAnswers = 0;
        bool silent = false;
    };

    struct Link
    {
        Connection connection;
        bool monitored = false;
        TimePoint retryAt;
        bool goneAway = false;
        bool lossLogged = false;
    };

    void open(const std::string &peer, Link &link);
    void onReceived(const std::string &peer, ConnectionId connection, const wire::PeerMessage &message);
    void onClosed(const std::string &peer, ConnectionId id, const MessageChannel &channel, const std::string &reason);
    void onGoAway(const std::string &peer, ConnectionId id, std::uint64_t lastCall);
    void onSilent(const std::string &peer, ConnectionId id);
    /// Keeps the connection for the pending answers only.
    void detach(Link &link, Duration retryDelay);
    void closeIfUnused(ConnectionId id);
    Connection *find(const std::string &peer, ConnectionId id);
    void notifyClosed(ConnectionId id, bool established);
    void logLoss(Link &link, const std::string &peer, const std::string &reason);
    void checkLiveness();
    void checkLiveness(const Connection &connection);

    EventLoop &m_loop;
    Logger &m_logger;
    SocketAddress m_ownAddress;
    MessageHandler m_messageHandler;
    CloseHandler m_closeHandler;
    ConnectionObserver *m_observer = nullptr;
    std::map<std::string, Link> m_links;
    std::map<ConnectionId, Connection> m_detachedConnections; ///< They send no further calls and close after the last pending answer.
    ConnectionId m_nextId = 1;
    TimePoint m_lastCheck;
    EventLoop::Watch m_checkTimer;
};

} // namespace Toucandeck
