#include "link/socket_address.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace Toucandeck
{

Result<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    SocketAddress address;
    in_addr ignored{};
    if (colon != std::string_view::npos) {
        address.ip = text.substr(0, colon);
        const auto port = text.substr(colon + 1);
        const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), address.port);
        const bool portRead = ec == std::errc() && end == port.data() + port.size() && address.port != 0;
        if (portRead && ::inet_pton(AF_INET, address.ip.c_str(), &ignored) == 1) {
            return address;
        }
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("'{}' is not an IPv4 address with a port, as in 127.0.0.1:7100", text));
}

std::string SocketAddress::toString() const
{
    return fmt::format("{}:{}", ip, port);
}

sockaddr_in SocketAddress::toSockaddr() const
{
    sockaddr_in sa{};
    sa.sin_family = AF_INET;
    sa.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &sa.sin_addr);
    return sa;
}

} // namespace Toucandeck
