#include "free_ports.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Toucandeck::Standin
{

namespace
{

// Below the range that the kernel uses for outgoing connections, so that a port stays free until its process listens.
constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kLastPort = 32000;

bool isFree(std::uint16_t port)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = ::bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(probe);
    return bound;
}

} // namespace

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<std::uint16_t> ports;
    // Runs that start at the same time begin with different ports.
    constexpr std::uint32_t kStride = 97;
    const auto range = static_cast<std::uint32_t>(kLastPort - kFirstPort);
    auto offset = static_cast<std::uint32_t>(::getpid()) * kStride % range;
    for (std::uint32_t n = 0; n < range && ports.size() < count; ++n, offset = (offset + 1) % range) {
        const auto port = static_cast<std::uint16_t>(kFirstPort + offset);
        if (isFree(port)) {
            ports.push_back(port);
        }
    }
    return ports;
}

} // namespace Toucandeck::Standin
