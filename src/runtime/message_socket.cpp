#include "runtime/message_socket.h"

#include "runtime/curve_keys.h"
#include "runtime/events.h"
#include "runtime/log_throttle.h"
#include "runtime/message_frames.h"
#include "runtime/message_monitor.h"
#include "runtime/message_peer.h"
#include "runtime/zap_handler.h"

#include <array>
#include <zmq.h>

namespace Toucandeck
{

namespace
{

/// Messages received in a row before the event loop handles timers and HTTP again.
constexpr int kReceiveBatch = 256;
constexpr int kBacklog = 1024;
constexpr const char *kZapDomain = "toucandeck";

} // namespace

struct MessageSocket::Parts
{
    internal::MessageContext context;
    std::unique_ptr<internal::ZapHandler> zap;
    std::unique_ptr<internal::MessageMonitor> monitor;
    internal::ZmqSocket socket;
    std::optional<internal::CurveKeys> keys;
    std::map<std::string, std::string> peerKeys;
    std::map<std::string, std::unique_ptr<internal::MessagePeer>> peers;
    EventLoop::Watch readable;
    EventLoop::Watch idleTimer;
    internal::LogThrottle undecodableLog;
    internal::LogThrottle droppedLog;
    internal::LogThrottle rejectedLog;
    internal::LogThrottle peerLimitLog;
    internal::LogThrottle transportLog;

    Parts(const Clock &clock, Logger &logger)
        : undecodableLog(clock, logger, Events::kMessageUndecodable)
        , droppedLog(clock, logger, Events::kMessageDropped)
        , rejectedLog(clock, logger, Events::kPeerRejected)
        , peerLimitLog(clock, logger, Events::kPeerLimit)
        , transportLog(clock, logger, Events::kMessageTransportFailed)
    {
    }
};

Result<std::unique_ptr<MessageSocket>> MessageSocket::create(EventLoop &loop, MessageSocketOptions options, Logger &logger)
{
    auto socket = std::unique_ptr<MessageSocket>(new MessageSocket(loop, std::move(options), logger));
    BOOST_LEAF_CHECK(socket->openCurve());
    BOOST_LEAF_CHECK(socket->open());
    return socket;
}

MessageSocket::MessageSocket(EventLoop &loop, MessageSocketOptions options, Logger &logger)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_parts(std::make_unique<Parts>(loop.clock(), logger))
{
}

MessageSocket::~MessageSocket()
{
    *m_alive = false;
}

Result<void> MessageSocket::openCurve()
{
    if (!m_options.curve) {
        return {};
    }
    BOOST_LEAF_ASSIGN(m_parts->keys, internal::readCurveKeys(m_options.curve->secretKeyFile));
    BOOST_LEAF_AUTO(allowed, internal::readAllowedKeys(m_options.curve->allowedKeysFolder));
    const auto &serverKey = m_options.curve->serverPublicKey;
    if (!serverKey.empty() && !internal::isCurveKey(serverKey)) {
        return fail(ErrorCode::InvalidArgument, "the server public key is no Z85 key of 40 characters");
    }
    auto onRejected = [this](const std::string &key) {
        ++m_counters.rejectedPeers;
        m_parts->rejectedLog.write("key", key);
    };
    BOOST_LEAF_ASSIGN(m_parts->zap, internal::ZapHandler::create(m_loop, m_parts->context, std::move(allowed), onRejected));
    return {};
}

Result<void> MessageSocket::open()
{
    BOOST_LEAF_ASSIGN(m_parts->socket, m_parts->context.socket(ZMQ_ROUTER));
    const auto &socket = m_parts->socket;
    internal::setOption(socket, ZMQ_RCVHWM, m_options.highWaterMark);
    internal::setOption(socket, ZMQ_BACKLOG, kBacklog);
    const auto limit = static_cast<std::int64_t>(m_options.maxMessageBytes);
    zmq_setsockopt(socket.get(), ZMQ_MAXMSGSIZE, &limit, sizeof limit);
    if (m_parts->keys) {
        internal::setOption(socket, ZMQ_CURVE_SERVER, 1);
        internal::setOption(socket, ZMQ_CURVE_SECRETKEY, m_parts->keys->secretKey);
        internal::setOption(socket, ZMQ_ZAP_DOMAIN, std::string(kZapDomain));
    }
    auto onRejected = [this](const std::string &endpoint) {
        ++m_counters.rejectedPeers;
        m_parts->rejectedLog.write("endpoint", endpoint);
    };
    BOOST_LEAF_ASSIGN(m_parts->monitor, internal::MessageMonitor::create(m_loop, m_parts->context, socket, onRejected));
    if (zmq_bind(socket.get(), m_options.address.c_str()) != 0) {
        return fail(ErrorCode::Io, "cannot bind message address " + m_options.address + ": " + zmq_strerror(zmq_errno()));
    }
    std::array<char, 256> endpoint{};
    std::size_t size = endpoint.size();
    zmq_getsockopt(socket.get(), ZMQ_LAST_ENDPOINT, endpoint.data(), &size);
    m_address = m_options.advertisedAddress.empty() ? endpoint.data() : m_options.advertisedAddress;
    m_parts->readable = m_loop.onReadable(internal::descriptorOf(socket), [this] { receive(); });
    m_parts->idleTimer
        = m_loop.every(std::max<Duration>(m_options.peerIdle / 4, std::chrono::milliseconds(1)), [this] { closeIdlePeers(); });
    scheduleReceive();
    return {};
}

void MessageSocket::setHandler(Handler handler)
{
    m_handler = std::move(handler);
}

void MessageSocket::receive()
{
    int n = 0;
    // Reads until the event state is empty: the descriptor is edge-triggered and may not signal again for remaining messages.
    while ((internal::eventsOf(m_parts->socket) & ZMQ_POLLIN) != 0) {
        if (n++ == kReceiveBatch) {
            scheduleReceive();
            return;
        }
        const auto frames = internal::receiveFrames(m_parts->socket);
        if (frames && frames->size() == 2) {
            receiveOne((*frames)[1]);
        } else if (frames) {
            ++m_counters.undecodable;
            m_parts->undecodableLog.write("reason", "wrong number of frames");
        }
    }
}

void MessageSocket::receiveOne(std::string_view frame)
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size())) || envelope.body_case() == wire::Envelope::BODY_NOT_SET) {
        ++m_counters.undecodable;
        m_parts->undecodableLog.write("reason", "not an envelope with a body");
        return;
    }
    ++m_counters.received;
    m_counters.receivedBytes += frame.size();
    if (m_handler) {
        m_handler(std::move(envelope));
    }
}

void MessageSocket::scheduleReceive()
{
    if (m_receiveScheduled) {
        return;
    }
    m_receiveScheduled = true;
    m_loop.runSoon([this, alive = m_alive] {
        if (*alive) {
            m_receiveScheduled = false;
            receive();
        }
    });
}

bool MessageSocket::send(const std::string &address, wire::Envelope envelope)
{
    envelope.set_sender(m_address);
    envelope.set_message(m_nextMessage++);
    if (address == m_address) {
        sendToSelf(std::move(envelope));
        return true;
    }
    auto frame = envelope.SerializeAsString();
    auto *peer = peerFor(address);
    const auto bytes = frame.size();
    if (peer == nullptr || !peer->send(std::move(frame))) {
        recordDropped(address, 1);
        return false;
    }
    ++m_counters.sent;
    m_counters.sentBytes += bytes;
    return true;
}

void MessageSocket::sendToSelf(wire::Envelope envelope)
{
    ++m_counters.sent;
    m_loop.runSoon([this, alive = m_alive, envelope = std::move(envelope)]() mutable {
        if (*alive && m_handler) {
            ++m_counters.received;
            m_handler(std::move(envelope));
        }
    });
}

void MessageSocket::recordDropped(const std::string &address, std::size_t n)
{
    m_counters.dropped += n;
    m_parts->droppedLog.write("peer", address);
}

internal::MessagePeer *MessageSocket::peerFor(const std::string &address)
{
    const auto it = m_parts->peers.find(address);
    if (it != m_parts->peers.end()) {
        return it->second.get();
    }
    if (m_parts->peers.size() >= m_options.maxPeers) {
        m_parts->peerLimitLog.write("peer", address);
        return nullptr;
    }
    // Accepts TCP only: an address with another transport in a received message must not make this process open a local endpoint.
    if (!address.starts_with("tcp://")) {
        return nullptr;
    }
    const internal::MessagePeer::Handlers handlers{ [this, address](std::size_t n) { recordDropped(address, n); },
                                                    [this](const Error &error) { m_parts->transportLog.write("error", error.message); } };
    const auto *keys = m_parts->keys ? &*m_parts->keys : nullptr;
    return handleError(
        [&]() -> Result<internal::MessagePeer *> {
            BOOST_LEAF_AUTO(
                peer, internal::MessagePeer::create(m_loop, m_parts->context, m_options, address, keys, serverKeyOf(address), handlers));
            return (m_parts->peers[address] = std::move(peer)).get();
        },
        [this](const Error &error) -> internal::MessagePeer * {
            m_parts->transportLog.write("error", error.message);
            return nullptr;
        });
}

std::string MessageSocket::serverKeyOf(const std::string &address) const
{
    if (!m_parts->keys) {
        return {};
    }
    const auto it = m_parts->peerKeys.find(address);
    if (it != m_parts->peerKeys.end()) {
        return it->second;
    }
    return m_options.curve->serverPublicKey.empty() ? m_parts->keys->publicKey : m_options.curve->serverPublicKey;
}

void MessageSocket::setPeerKey(const std::string &address, const std::string &publicKey)
{
    if (!internal::isCurveKey(publicKey) || m_parts->peerKeys[address] == publicKey) {
        return;
    }
    m_parts->peerKeys[address] = publicKey;
    m_parts->peers.erase(address);
}

void MessageSocket::closeIdlePeers()
{
    const auto oldest = m_loop.clock().now() - m_options.peerIdle;
    std::erase_if(m_parts->peers, [oldest](const auto &it) { return it.second->lastUse() < oldest; });
}

const std::string &MessageSocket::address() const
{
    return m_address;
}

const MessageCounters &MessageSocket::counters() const
{
    return m_counters;
}

std::size_t MessageSocket::peers() const
{
    return m_parts->peers.size();
}

std::string MessageSocket::publicKey() const
{
    return m_parts->keys ? m_parts->keys->publicKey : std::string();
}

Result<void> MessageSocket::reloadKeys()
{
    if (m_options.curve) {
        BOOST_LEAF_AUTO(allowed, internal::readAllowedKeys(m_options.curve->allowedKeysFolder));
        m_parts->zap->setAllowed(std::move(allowed));
    }
    return {};
}

} // namespace Toucandeck
