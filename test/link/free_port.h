#pragma once

#include "link/socket_address.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Toucandeck
{

/// Returns a loopback port that is currently unused.
inline std::uint16_t freePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    auto sa = SocketAddress{ "127.0.0.1", 0 }.toSockaddr();
    socklen_t n = sizeof(sa);
    EXPECT_EQ(::bind(descriptor, reinterpret_cast<sockaddr *>(&sa), n), 0);
    EXPECT_EQ(::getsockname(descriptor, reinterpret_cast<sockaddr *>(&sa), &n), 0);
    ::close(descriptor);
    return ntohs(sa.sin_port);
}

} // namespace Toucandeck
