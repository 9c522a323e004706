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

/// Keys for authenticated, encrypted messages. All processes of a deployment use CURVE or none does.
struct CurveOptions
{
    std::string secretKeyFile; ///< Own secret key, Z85 text of 40 characters.
    std::string serverPublicKey; ///< Key of peers without one of their own (setPeerKey). Empty: the own public key, shared by all.
    std::string allowedKeysFolder; ///< Each file holds the Z85 public key of one peer that may connect.
};

struct MessageSocketOptions
{
    std::string address; ///< "tcp://IP:PORT"; port 0 takes a free port.
    std::string advertisedAddress; ///< Address that peers answer to, if it is not the one bound.
    std::optional<CurveOptions> curve;
    int highWaterMark = 4096; ///< Messages queued per peer and direction; bounds memory at a slow peer.
    std::size_t maxMessageBytes = 8U << 20U; ///< Larger messages close the connection. 1 MiB bodies and snapshot chunks fit.
    std::size_t maxPeers = 4096; ///< 580 nodes and their restarts within the idle time.
    Duration peerIdle = std::chrono::seconds(120); ///< Connections without sends for longer are closed.
    Duration maxQueueAge = std::chrono::milliseconds(500); ///< Messages that wait longer for a connection are dropped.
};

struct MessageCounters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t dropped = 0; ///< Not sent: queue full, too old, or peer unreachable.
    std::uint64_t undecodable = 0;
    std::uint64_t rejectedPeers = 0; ///< Connections that failed the handshake or authentication.
};

namespace internal
{
class MessagePeer;
} // namespace internal

/// One bound ZeroMQ ROUTER for all received messages and one DEALER per peer address for sent ones.
/// An answer goes to the address in Envelope.sender. Nothing blocks; messages of one peer keep their order.
class MessageSocket
{
public:
    using Handler = std::function<void(wire::Envelope)>;

    /// Fails with Io if the address cannot be bound, InvalidArgument if a key cannot be read.
    static Result<std::unique_ptr<MessageSocket>> create(EventLoop &loop, MessageSocketOptions options, Logger &logger);
    ~MessageSocket();

    /// Receives every decodable message of an authenticated peer.
    void setHandler(Handler handler);

    /// Queues the message; sets sender and message id. False: dropped and counted, it will certainly not arrive.
    /// True: it may arrive, once. A message that is still queued when maxQueueAge has passed is dropped and counted.
    bool send(const std::string &address, wire::Envelope envelope);

    /// Own address with the port taken, as peers know it.
    const std::string &address() const;
    const MessageCounters &counters() const;
    std::size_t peers() const;
    /// Own CURVE public key (Z85); empty without CURVE.
    std::string publicKey() const;
    /// Public key that the peer at this address must prove, as registered in the view or named in the settings.
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
    void dropped(const std::string &address, std::size_t n);
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
