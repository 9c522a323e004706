#include "runtime/message_peer.h"

#include "runtime/message_frames.h"

#include <zmq.h>

namespace Toucandeck::internal
{

namespace
{

/// Reconnect interval. The first attempt follows soon after the connection is lost; the interval then grows to kMaxReconnectMs, a
/// rate that the processes that were connected to a departed peer can sustain.
constexpr int kReconnectMs = 20;
constexpr int kMaxReconnectMs = 500;
constexpr int kConnectTimeoutMs = 1000;
/// A connection with data unacknowledged for this long is closed. Without it, TCP's doubled retransmission time would delay the first
/// message after a partition by as long as the partition lasted.
constexpr int kUnacknowledgedMs = 1000;
/// Time for which sends must have been blocked before the connection is reopened. ZeroMQ never retries a connection whose
/// handshake failed, for example while the peer does not yet allow this key.
constexpr Duration kReopenAfter = std::chrono::seconds(2);

} // namespace

Result<std::unique_ptr<MessagePeer>> MessagePeer::create(EventLoop &loop,
                                                         const MessageContext &context,
                                                         const MessageSocketOptions &options,
                                                         const std::string &address,
                                                         const CurveKeys *keys,
                                                         const std::string &serverKey,
                                                         Handlers handlers)
{
    auto peer = std::unique_ptr<MessagePeer>(new MessagePeer(loop, context, options, address, keys, serverKey, std::move(handlers)));
    BOOST_LEAF_CHECK(peer->open());
    return peer;
}

MessagePeer::MessagePeer(EventLoop &loop,
                         const MessageContext &context,
                         const MessageSocketOptions &options,
                         const std::string &address,
                         const CurveKeys *keys,
                         const std::string &serverKey,
                         Handlers handlers)
    : m_loop(loop)
    , m_context(context)
    , m_options(options)
    , m_address(address)
    , m_keys(keys)
    , m_serverKey(serverKey)
    , m_handlers(std::move(handlers))
    , m_lastUse(loop.clock().now())
{
}

Result<void> MessagePeer::open()
{
    BOOST_LEAF_AUTO(socket, m_context.socket(ZMQ_DEALER));
    setOptions(socket);
    if (zmq_connect(socket.get(), m_address.c_str()) != 0) {
        return fail(ErrorCode::InvalidArgument, "message address " + m_address + ": " + zmq_strerror(zmq_errno()));
    }
    m_readable.cancel();
    m_socket = std::move(socket);
    m_readable = m_loop.onReadable(descriptorOf(m_socket), [this] { process(); });
    process();
    return {};
}

void MessagePeer::setOptions(const ZmqSocket &socket) const
{
    // Messages to an unreachable peer must not be queued in ZeroMQ: they would arrive long after their deadline.
    setOption(socket, ZMQ_IMMEDIATE, 1);
    setOption(socket, ZMQ_SNDHWM, m_options.highWaterMark);
    setOption(socket, ZMQ_RECONNECT_IVL, kReconnectMs);
    setOption(socket, ZMQ_RECONNECT_IVL_MAX, kMaxReconnectMs);
    setOption(socket, ZMQ_CONNECT_TIMEOUT, kConnectTimeoutMs);
    setOption(socket, ZMQ_TCP_MAXRT, kUnacknowledgedMs);
    if (m_keys != nullptr) {
        setOption(socket, ZMQ_CURVE_SERVERKEY, m_serverKey);
        setOption(socket, ZMQ_CURVE_PUBLICKEY, m_keys->publicKey);
        setOption(socket, ZMQ_CURVE_SECRETKEY, m_keys->secretKey);
    }
}

bool MessagePeer::send(std::string frame)
{
    m_lastUse = m_loop.clock().now();
    if (m_queue.empty() && zmq_send(m_socket.get(), frame.data(), frame.size(), ZMQ_DONTWAIT) >= 0) {
        m_blockedSince.reset();
        return true;
    }
    if (m_queue.size() >= static_cast<std::size_t>(m_options.highWaterMark)) {
        return false;
    }
    if (!m_blockedSince) {
        m_blockedSince = m_lastUse;
    }
    m_queue.push_back({ std::move(frame), m_lastUse });
    if (!m_dropTimer.isActive()) {
        m_dropTimer = m_loop.after(m_options.maxQueueAge, [this] { dropOld(); });
    }
    return true;
}

TimePoint MessagePeer::lastUse() const
{
    return m_lastUse;
}

void MessagePeer::process()
{
    int events = eventsOf(m_socket);
    while ((events & ZMQ_POLLIN) != 0) {
        receiveFrames(m_socket); // Peers reply on their own connections; messages received here are discarded.
        events = eventsOf(m_socket);
    }
    while (!m_queue.empty()) {
        const auto &frame = m_queue.front().frame;
        if (zmq_send(m_socket.get(), frame.data(), frame.size(), ZMQ_DONTWAIT) < 0) {
            break;
        }
        m_queue.pop_front();
        m_blockedSince.reset();
    }
}

void MessagePeer::dropOld()
{
    const auto oldest = m_loop.clock().now() - m_options.maxQueueAge;
    std::size_t n = 0;
    while (!m_queue.empty() && m_queue.front().queuedAt <= oldest) {
        m_queue.pop_front();
        ++n;
    }
    if (!m_queue.empty()) {
        m_dropTimer = m_loop.after(m_queue.front().queuedAt - oldest, [this] { dropOld(); });
    }
    if (n > 0) {
        m_handlers.onDropped(n);
    }
    if (m_blockedSince && m_loop.clock().now() - *m_blockedSince > kReopenAfter) {
        reopen();
    }
}

void MessagePeer::reopen()
{
    m_blockedSince = m_loop.clock().now();
    handleError([this] { return open(); }, m_handlers.onReopenFailed);
}

} // namespace Toucandeck::internal
