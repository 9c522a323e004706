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

/// Connection to one peer for sending.
class MessagePeer
{
public:
    /// @param keys own keys if CURVE is on; @param serverKey the peer's public key.
    static Result<std::unique_ptr<MessagePeer>> create(EventLoop &loop,
                                                       const MessageContext &context,
                                                       const MessageSocketOptions &options,
                                                       const std::string &address,
                                                       const CurveKeys *keys,
                                                       const std::string &serverKey,
                                                       std::function<void(std::size_t)> onDropped);

    /// False: the queue is full and the message was dropped.
    bool send(std::string frame);
    TimePoint lastUse() const;

private:
    struct Waiting
    {
        std::string frame;
        TimePoint since;
    };

    MessagePeer(EventLoop &loop,
                const MessageContext &context,
                const MessageSocketOptions &options,
                const std::string &address,
                const CurveKeys *keys,
                const std::string &serverKey,
                std::function<void(std::size_t)> onDropped);
    void setOptions();
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
    std::function<void(std::size_t)> m_onDropped;
    ZmqSocket m_socket;
    std::deque<Waiting> m_waiting; ///< Until the connection stands or the library's queue has room.
    TimePoint m_lastUse;
    std::optional<TimePoint> m_stuckSince; ///< First message that had to wait since the last one left.
    EventLoop::Watch m_readable;
    EventLoop::Watch m_dropTimer;
};

} // namespace Toucandeck::internal
