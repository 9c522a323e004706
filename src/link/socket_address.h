#pragma once

#include "common/result.h"

#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// IPv4 address and port.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const SocketAddress &) const = default;

    /// Reads "IP:PORT". Errors: InvalidArgument.
    static Result<SocketAddress> parse(std::string_view text);

    std::string toString() const;
    sockaddr_in toSockaddr() const;
};

} // namespace Toucandeck
