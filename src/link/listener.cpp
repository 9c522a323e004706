#include "link/listener.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/listener.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Toucandeck
{

namespace
{

constexpr int kBacklog = 1024; ///< If the queue is full, the kernel drops the SYN, which is retransmitted only after one second.

} // namespace

Result<std::unique_ptr<Listener>> Listener::listen(EventLoop &loop, const SocketAddress &address, AcceptHandler handler)
{
    std::unique_ptr<Listener> listener(new Listener(std::move(handler)));
    const auto sa = address.toSockaddr();
    constexpr unsigned kFlags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;
    listener->m_listener = evconnlistener_new_bind(
        loop.base(), &Listener::onAccept, listener.get(), kFlags, kBacklog, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa));
    if (listener->m_listener == nullptr) {
        return fail(ErrorCode::Io, fmt::format("cannot listen on {}: {}", address.toString(), std::strerror(errno)));
    }
    return listener;
}

Listener::Listener(AcceptHandler handler)
    : m_acceptHandler(std::move(handler))
{
}

Listener::~Listener()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
}

void Listener::acceptPending()
{
    sockaddr_in peer{};
    auto *sa = reinterpret_cast<sockaddr *>(&peer);
    socklen_t n = sizeof(peer);
    int descriptor = -1;
    while ((descriptor = ::accept4(evconnlistener_get_fd(m_listener), sa, &n, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        onAccept(m_listener, descriptor, sa, static_cast<int>(n), this);
        n = sizeof(peer);
    }
}

void Listener::onAccept(evconnlistener * /*listener*/, int descriptor, sockaddr *peer, int /*length*/, void *self)
{
    char ip[INET_ADDRSTRLEN] = "";
    ::inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in *>(peer)->sin_addr, ip, sizeof(ip));
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    static_cast<Listener *>(self)->m_acceptHandler(descriptor, ip);
}

} // namespace Toucandeck
