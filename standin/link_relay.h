#pragma once

#include "common/result.h"
#include "common/time.h"

#include <cstdint>
#include <memory>
#include <string>

struct event_base;

namespace Toucandeck::Standin
{

/// Relays TCP connections between two loopback ports with a fixed one-way delay. While cut it forwards nothing and keeps the
/// connections open, as a network that silently drops packets does; TCP delivers the bytes after the link is back.
class LinkRelay
{
public:
    /// Listens on @p listenIp, an address of the loopback range, and connects to 127.0.0.1:@p targetPort for each connection.
    static Result<std::unique_ptr<LinkRelay>>
    create(event_base *base, const std::string &listenIp, std::uint16_t listenPort, std::uint16_t targetPort, Duration delay);
    ~LinkRelay();
    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    void setCut(bool cut);
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
