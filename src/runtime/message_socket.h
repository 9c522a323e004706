#pragma once

#include "common/result.h"
#include "log/logger.h"
#include "runtime/event_loop.h"

#include "envelope.pb.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// Keys for authenticated, encrypted messages. Either all processes of a deployment use CURVE or none.
struct CurveOptions
{
    std::string secretKeyFile; ///< Own secret key, Z85 text of 40 characters.
    std::string serverPublicKey; ///< Key of peers for which setPeerKey() set none. If empty, the own public key, shared by all.
    std::string allowedKeysFolder; ///< Each file holds the Z85 public key of one peer that may connect.
};

struct MessageSocketOptions
{
    std::string address; ///< "tcp://IP:PORT"; port 0 selects a free port.
    std::string advertisedAddress; ///< Address that peers reply to, if it differs from the bound one.
    std::optional<CurveOptions> curve;
    int highWaterMark = 4096; ///< Messages queued per peer and direction; bounds the memory used for a slow peer.
    std::size_t maxMessageBytes = 8U << 20U; ///< Larger messages close the connection. 1 MiB bodies and snapshot chunks fit.
    std::size_t maxPeers = 4096; ///< Enough for 580 nodes and their restarts within the idle timeout.
    Duration peerIdle = std::chrono::seconds(120); ///< Connections on which nothing was sent for longer are closed.
    Duration maxQueueAge = std::chrono::milliseconds(500); ///< Messages that wait longer for a connection are dropped.
};

struct MessageCounters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t dropped = 0; ///< Messages not sent: queue full, message too old, or peer unreachable.
    std::uint64_t undecodable = 0;
    std::uint64_t rejectedPeers = 0; ///< Connections that failed the handshake or authentication.
};

namespace internal
{
class MessagePeer;
} // namespace internal

/// Message endpoint: one bound ZeroMQ ROUTER for receiving and one DEALER per peer address for sending.
/// Replies are sent to the address in Envelope.sender. No call blocks; messages of one peer keep their order.
class MessageSocket
{
public:
    using Handler = std::function<void(wire::Envelope)>;

    /// Fails with Io if the address cannot be bound, InvalidArgument if a key cannot be read.
    static Result<std::unique_ptr<MessageSocket>> create(EventLoop &loop, MessageSocketOptions options, Logger &logger);
    ~MessageSocket();

    /// Sets the handler that receives every decodable message of an authenticated peer.
    void setHandler(Handler handler);

    /// Queues the message; sets sender and message id. Returns false if it was dropped and counted; it never arrives.
    /// Returns true if it may arrive, at most once. A message that is still queued when maxQueueAge has passed is dropped and counted.
    bool send(const std::string &address, wire::Envelope envelope);

    /// Own address with the bound port, as advertised to peers.
    const std::string &address() const;
    const MessageCounters &counters() const;
    std::size_t peers() const;
    /// Own CURVE public key (Z85); empty without CURVE.
    std::string publicKey() const;
    /// Sets the public key that the peer at this address must prove to own, as registered in the view or given in the settings.
    void setPeerKey(const std::string &address, const std::string &publicKey);
    /// Reads the folder of allowed keys again (SIGHUP).
    Result<void> reloadKeys();

private:
    struct Parts;

    MessageSocket(EventLoop &loop, MessageSocketOptions options, Logger &logger);
    Result<void> openCurve();
    Result<void> open();
    void receive();
    void receiveOne(std::string_view frame);
    void scheduleReceive();
    void sendToSelf(wire::Envelope envelope);
    void recordDropped(const std::string &address, std::size_t n);
    void closeIdlePeers();
    internal::MessagePeer *peerFor(const std::string &address);
    std::string serverKeyOf(const std::string &address) const;

    EventLoop &m_loop;
    MessageSocketOptions m_options;
    Handler m_handler;
    MessageCounters m_counters;
    std::string m_address;
    std::uint64_t m_nextMessage = 1;
    bool m_receiveScheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::unique_ptr<Parts> m_parts;
};

} // namespace Toucandeck
