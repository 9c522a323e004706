#include "link/message_channel.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kLengthBytes = 4;
constexpr std::uint32_t kMaxMessageBytes = 96U << 20U; ///< Allows for the largest request body that a manifest permits.
/// Time after which the kernel closes a connection whose sent data is not acknowledged.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 2000 };

void setSocketOptions(int descriptor)
{
    const int on = 1;
    const auto timeout = static_cast<unsigned>(kUnacknowledgedTimeout.count());
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

std::array<unsigned char, kLengthBytes> lengthPrefix(std::uint32_t n)
{
    return { static_cast<unsigned char>(n >> 24U),
             static_cast<unsigned char>(n >> 16U),
             static_cast<unsigned char>(n >> 8U),
             static_cast<unsigned char>(n) };
}

std::uint32_t readLength(const std::array<unsigned char, kLengthBytes> &buf)
{
    return (std::uint32_t{ buf[0] } << 24U) | (std::uint32_t{ buf[1] } << 16U) | (std::uint32_t{ buf[2] } << 8U) | buf[3];
}

} // namespace

std::shared_ptr<MessageChannel> MessageChannel::accept(EventLoop &loop, int descriptor, const std::string &peer, Handlers handlers)
{
    std::shared_ptr<MessageChannel> channel(new MessageChannel(loop, peer, std::move(handlers)));
    setSocketOptions(descriptor);
    channel->m_established = true;
    channel->attach(descriptor);
    return channel;
}

std::shared_ptr<MessageChannel>
MessageChannel::connect(EventLoop &loop, const SocketAddress &address, const std::string &source, Handlers handlers)
{
    std::shared_ptr<MessageChannel> channel(new MessageChannel(loop, address.ip, std::move(handlers)));
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        channel->reportConnectFailure(fmt::format("cannot create a socket: {}", std::strerror(errno)));
        return channel;
    }
    setSocketOptions(descriptor);
    if (!source.empty()) {
        const auto sourceAddress = SocketAddress{ source, 0 }.toSockaddr();
        if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&sourceAddress), sizeof(sourceAddress)) != 0) {
            channel->reportConnectFailure(fmt::format("cannot bind the source address {}: {}", source, std::strerror(errno)));
            ::close(descriptor);
            return channel;
        }
    }
    channel->attach(descriptor);
    const auto sa = address.toSockaddr();
    // All failures, including immediate ones, are reported to onEvent().
    bufferevent_socket_connect(channel->m_stream, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa));
    return channel;
}

void MessageChannel::reportConnectFailure(const std::string &reason)
{
    m_loop.runSoon([channel = shared_from_this(), reason] {
        if (channel->m_handlers.onClosed) {
            channel->m_handlers.onClosed(channel, reason);
        }
    });
}

MessageChannel::MessageChannel(EventLoop &loop, std::string peer, Handlers handlers)
    : m_loop(loop)
    , m_peer(std::move(peer))
    , m_handlers(std::move(handlers))
    , m_unsent(evbuffer_new(), &evbuffer_free)
    , m_lastReceiveTime(loop.clock().now())
    , m_lastPingTime(m_lastReceiveTime)
{
}

MessageChannel::~MessageChannel()
{
    close();
}

void MessageChannel::attach(int descriptor)
{
    m_stream = bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(m_stream, &MessageChannel::onRead, nullptr, &MessageChannel::onEvent, this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

void MessageChannel::send(const wire::PeerMessage &message)
{
    if (m_stream == nullptr) {
        return;
    }
    const auto n = message.ByteSizeLong();
    const auto prefix = lengthPrefix(static_cast<std::uint32_t>(n));
    auto *out = m_established ? bufferevent_get_output(m_stream) : m_unsent.get();
    evbuffer_iovec space{};
    if (evbuffer_reserve_space(out, static_cast<ev_ssize_t>(n + kLengthBytes), &space, 1) != 1) {
        closeWithReason("out of memory for a message");
        return;
    }
    auto *buf = static_cast<unsigned char *>(space.iov_base);
    std::memcpy(buf, prefix.data(), prefix.size());
    message.SerializeWithCachedSizesToArray(buf + kLengthBytes);
    space.iov_len = n + kLengthBytes;
    evbuffer_commit_space(out, &space, 1);
}

void MessageChannel::close()
{
    if (m_stream != nullptr) {
        bufferevent_free(m_stream);
        m_stream = nullptr;
    }
}

void MessageChannel::closeWithReason(const std::string &reason)
{
    if (m_stream == nullptr) {
        return;
    }
    const auto self = shared_from_this();
    close();
    if (m_handlers.onClosed) {
        m_handlers.onClosed(self, reason);
    }
}

void MessageChannel::checkLiveness(const LivenessTimeouts &timeouts)
{
    const auto now = m_loop.clock().now();
    const auto timeSinceReceive = now - m_lastReceiveTime;
    if (timeSinceReceive >= (m_established ? timeouts.receive : timeouts.connect)) {
        closeWithReason(m_established ? "silent" : "connection not established before the timeout");
        return;
    }
    if (m_established && timeSinceReceive >= timeouts.pingAfter && now - m_lastPingTime >= timeouts.pingAfter) {
        m_lastPingTime = now;
        wire::PeerMessage message;
        message.mutable_ping();
        send(message);
    }
}

bool MessageChannel::isSilent(const LivenessTimeouts &timeouts) const
{
    return m_established && m_loop.clock().now() - m_lastReceiveTime >= timeouts.receive;
}

void MessageChannel::resetLiveness()
{
    m_lastReceiveTime = m_loop.clock().now();
}

std::optional<TimePoint> MessageChannel::partialReceiveTime() const
{
    const bool partial = m_stream != nullptr && evbuffer_get_length(bufferevent_get_input(m_stream)) > 0;
    return partial ? std::optional(m_lastReceiveTime) : std::nullopt;
}

bool MessageChannel::wasEstablished() const
{
    return m_established;
}

bool MessageChannel::isOpen() const
{
    return m_stream != nullptr;
}

const std::string &MessageChannel::peer() const
{
    return m_peer;
}

void MessageChannel::onRead(bufferevent * /*stream*/, void *self)
{
    const auto channel = static_cast<MessageChannel *>(self)->shared_from_this();
    channel->m_lastReceiveTime = channel->m_loop.clock().now();
    channel->readMessages();
}

void MessageChannel::readMessages()
{
    while (m_stream != nullptr && readMessage()) { }
}

bool MessageChannel::readMessage()
{
    auto *in = bufferevent_get_input(m_stream);
    std::array<unsigned char, kLengthBytes> prefix{};
    if (evbuffer_copyout(in, prefix.data(), prefix.size()) < static_cast<ev_ssize_t>(prefix.size())) {
        return false;
    }
    const auto n = readLength(prefix);
    if (n > kMaxMessageBytes) {
        closeWithReason("received a message above the size limit");
        return false;
    }
    if (evbuffer_get_length(in) < kLengthBytes + n) {
        return false;
    }
    evbuffer_drain(in, kLengthBytes);
    wire::PeerMessage message;
    const bool read = n == 0 || message.ParseFromArray(evbuffer_pullup(in, static_cast<ev_ssize_t>(n)), static_cast<int>(n));
    evbuffer_drain(in, n);
    if (!read) {
        closeWithReason("received a message that cannot be parsed");
        return false;
    }
    dispatch(message);
    return true;
}

void MessageChannel::dispatch(const wire::PeerMessage &message)
{
    switch (message.body_case()) {
    case wire::PeerMessage::kPing: {
        wire::PeerMessage answer;
        answer.mutable_pong();
        send(answer);
        return;
    }
    case wire::PeerMessage::kPong:
    case wire::PeerMessage::BODY_NOT_SET:
        return;
    default:
        m_handlers.onMessage(shared_from_this(), message);
    }
}

void MessageChannel::onEstablished()
{
    m_established = true;
    resetLiveness();
    bufferevent_write_buffer(m_stream, m_unsent.get());
}

void MessageChannel::onEvent(bufferevent * /*stream*/, short what, void *self)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        static_cast<MessageChannel *>(self)->onEstablished();
        return;
    }
    const auto channel = static_cast<MessageChannel *>(self)->shared_from_this();
    const int ec = EVUTIL_SOCKET_ERROR();
    channel->closeWithReason((what & BEV_EVENT_EOF) != 0 ? "closed by the peer" : evutil_socket_error_to_string(ec));
}

} // namespace Toucandeck
