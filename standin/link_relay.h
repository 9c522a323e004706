#pragma once

#include "common/result.h"
#include "common/time.h"
#include "link/socket_address.h"

#include <cstdint>
#include <memory>

struct event_base;

namespace Toucandeck::Standin
{

/// Directions in which a link delivers nothing. Forward is from the side that opens connections.
enum class LinkCut {
    None,
    Forward,
    Backward,
    Both
};

/// Relays TCP connections between two loopback addresses with a fixed one-way delay. While cut it forwards nothing and keeps the
/// connections open, as a network that silently drops packets does; TCP delivers the bytes after the link is back.
class LinkRelay
{
public:
    /// Listens on @p listen and opens a connection to @p target for each that it accepts; both are addresses of the loopback range.
    static Result<std::unique_ptr<LinkRelay>>
    create(event_base *base, const SocketAddress &listen, const SocketAddress &target, Duration delay);
    ~LinkRelay();
    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    void setCut(LinkCut cut);
    void setDelay(Duration delay);
    /// Closes all connections, as a restarted switch does.
    void reset();
    std::uint16_t listenPort() const;
    std::uint64_t bytes() const;
    /// Reads from a socket, each of which stands for at least one packet.
    std::uint64_t packets() const;

    struct Private;

private:
    explicit LinkRelay(std::unique_ptr<Private> d);

    std::unique_ptr<Private> m_d;
};

} // namespace Toucandeck::Standin
