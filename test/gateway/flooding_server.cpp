#include "gateway/flooding_server.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kBlockBytes = 64U << 10U;
constexpr int kPollMs = 20; ///< Interval at which the threads check whether they have to end.

bool isReady(int descriptor, short events)
{
    pollfd it{ descriptor, events, 0 };
    return ::poll(&it, 1, kPollMs) > 0;
}

} // namespace

FloodingServer::FloodingServer(const SocketAddress &address, std::string start, const std::string &unit)
    : m_start(std::move(start))
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    while (m_block.size() < kBlockBytes) {
        m_block += unit;
    }
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto sa = address.toSockaddr();
    EXPECT_EQ(::bind(m_listener, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)), 0);
    EXPECT_EQ(::listen(m_listener, SOMAXCONN), 0);
    m_acceptor = std::thread([this] { acceptConnections(); });
}

FloodingServer::~FloodingServer()
{
    m_stopped = true;
    m_acceptor.join();
    for (auto &it : m_connections) {
        it.join();
    }
    ::close(m_listener);
}

void FloodingServer::acceptConnections()
{
    while (!m_stopped) {
        if (!isReady(m_listener, POLLIN)) {
            continue;
        }
        if (const int descriptor = ::accept(m_listener, nullptr, nullptr); descriptor >= 0) {
            m_connections.emplace_back([this, descriptor] { flood(descriptor); });
        }
    }
}

void FloodingServer::flood(int descriptor) const
{
    std::string_view rest = m_start;
    bool isOpen = true;
    while (!m_stopped && isOpen) {
        if (!isReady(descriptor, POLLOUT)) {
            continue;
        }
        const auto n = ::send(descriptor, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        isOpen = n >= 0 || errno == EAGAIN;
        rest.remove_prefix(n > 0 ? static_cast<std::size_t>(n) : 0);
        rest = rest.empty() ? std::string_view(m_block) : rest;
    }
    ::close(descriptor);
}

} // namespace Toucandeck
