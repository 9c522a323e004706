#pragma once

#include "link/socket_address.h"

#include "runtime/event_loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <peer.pb.h>
#include <string>

struct bufferevent;
struct evbuffer;

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// Exchanges messages over one TCP connection. Each message consists of a length prefix of four bytes, big-endian, and a serialised
/// PeerMessage. Pings are answered internally. Handlers may release any reference to the channel.
class MessageChannel : public std::enable_shared_from_this<MessageChannel>
{
public:
    using MessageHandler = std::function<void(const std::shared_ptr<MessageChannel> &, const wire::PeerMessage &)>;
    using CloseHandler = std::function<void(const std::shared_ptr<MessageChannel> &, const std::string &reason)>;

    struct Handlers
    {
        MessageHandler onMessage;
        CloseHandler onClosed; ///< Called once if the connection ends for another reason than close().
    };

    /// Creates a channel for an accepted descriptor and takes ownership of it.
    static std::shared_ptr<MessageChannel> accept(EventLoop &loop, int descriptor, const std::string &peer, Handlers handlers);
    /// Opens a connection; messages sent before it is established are queued.
    /// @param source local IP address, by which the peer identifies this process; if empty, the system chooses one.
    static std::shared_ptr<MessageChannel>
    connect(EventLoop &loop, const SocketAddress &address, const std::string &source, Handlers handlers);
    ~MessageChannel();

    MessageChannel(const MessageChannel &) = delete;
    MessageChannel &operator=(const MessageChannel &) = delete;

    void send(const wire::PeerMessage &message);

    /// Closes the connection without calling Handlers::onClosed.
    void close();

    /// Timeouts of a connection that receives no data.
    struct LivenessTimeouts
    {
        Duration connect; ///< Time to establish the connection.
        Duration pingAfter; ///< Time without received data after which a ping is sent.
        Duration receive; ///< Time without received data after which the connection is closed.
    };

    /// Sends pings and closes the connection according to @p timeouts. Must be called regularly while an answer is pending, because a
    /// peer can become unreachable without a reset of the connection.
    void checkLiveness(const LivenessTimeouts &timeouts);

    /// True if an established connection has received no data for the time after which checkLiveness() closes it.
    bool isSilent(const LivenessTimeouts &timeouts) const;

    /// Restarts the time that checkLiveness() measures, when this process was suspended or starts to wait for an answer.
    void resetLiveness();

    /// Time at which bytes of a message arrived that is not complete yet; none if no message is being received.
    std::optional<TimePoint> partialReceiveTime() const;

    bool isOpen() const;
    /// True if the connection has ever been established; otherwise no sent message has left this process.
    bool wasEstablished() const;
    /// IP address of the peer.
    const std::string &peer() const;

private:
    MessageChannel(EventLoop &loop, std::string peer, Handlers handlers);
    /// Reports that no connection attempt was possible. Handlers::onClosed is called after connect() has returned.
    void reportConnectFailure(const std::string &reason);
    void attach(int descriptor);
    void onEstablished();
    void readMessages();
    bool readMessage();
    void dispatch(const wire::PeerMessage &message);
    /// Closes the connection and calls Handlers::onClosed.
    void closeWithReason(const std::string &reason);

    static void onRead(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);

    EventLoop &m_loop;
    std::string m_peer;
    Handlers m_handlers;
    bufferevent *m_stream = nullptr;
    bool m_established = false;
    /// Messages that wait for the connection to be established: one that was handed to the kernel before could be received although the
    /// connection counts as failed.
    std::unique_ptr<evbuffer, void (*)(evbuffer *)> m_unsent;
    TimePoint m_lastReceiveTime;
    TimePoint m_lastPingTime;
};

} // namespace Toucandeck
