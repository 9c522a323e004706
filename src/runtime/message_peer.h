#pragma once

#include "runtime/curve_keys.h"
#include "runtime/event_loop.h"
#include "runtime/message_context.h"
#include "runtime/message_socket.h"

#include <deque>
#include <optional>
#include <string>

namespace Toucandeck::internal
{

/// Outgoing connection to one peer.
class MessagePeer
{
public:
    struct Handlers
    {
        std::function<void(std::size_t)> onDropped; ///< Called with the number of messages that were dropped after they were queued.
        std::function<void(const Error &)> onReopenFailed; ///< The former connection stays in use.
    };

    /// @param keys own keys; null if CURVE is disabled. @param serverKey the peer's public key. Errors: Io if the limit on sockets is
    /// reached, InvalidArgument if the address is malformed.
    static Result<std::unique_ptr<MessagePeer>> create(EventLoop &loop,
                                                       const MessageContext &context,
                                                       const MessageSocketOptions &options,
                                                       const std::string &address,
                                                       const CurveKeys *keys,
                                                       const std::string &serverKey,
                                                       Handlers handlers);

    /// Sends or queues the message. Returns false if the queue is full; the message is then dropped.
    bool send(std::string frame);
    TimePoint lastUse() const;

private:
    struct QueuedMessage
    {
        std::string frame;
        TimePoint queuedAt;
    };

    MessagePeer(EventLoop &loop,
                const MessageContext &context,
                const MessageSocketOptions &options,
                const std::string &address,
                const CurveKeys *keys,
                const std::string &serverKey,
                Handlers handlers);
    void setOptions(const ZmqSocket &socket) const;
    /// Replaces the connection, or fails and leaves it as it is.
    Result<void> open();
    void process();
    void dropOld();
    void reopen();

    EventLoop &m_loop;
    const MessageContext &m_context;
    const MessageSocketOptions &m_options;
    std::string m_address;
    const CurveKeys *m_keys;
    std::string m_serverKey;
    Handlers m_handlers;
    ZmqSocket m_socket;
    std::deque<QueuedMessage> m_queue; ///< Messages held until the connection is established or ZeroMQ's queue has room.
    TimePoint m_lastUse;
    std::optional<TimePoint> m_blockedSince; ///< Time of the first queued message since the last successful send, or of the last reopen.
    EventLoop::Watch m_readable;
    EventLoop::Watch m_dropTimer;
};

} // namespace Toucandeck::internal
