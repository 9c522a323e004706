#include "link/listener.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/listener.h>
#include <fmt/format.h>
#include <netinet/tcp.h>

namespace Toucandeck
{

namespace
{

constexpr int kBacklog = 1024; ///< A full queue drops the opening packet, which is sent again only after a second.

} // namespace

Result<std::unique_ptr<Listener>> Listener::listen(EventLoop &loop, const SocketAddress &address, Accepted accepted)
{
    std::unique_ptr<Listener> listener(new Listener(std::move(accepted)));
    const auto sa = address.toSockaddr();
    constexpr unsigned kFlags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;
    listener->m_listener = evconnlistener_new_bind(
        loop.base(), &Listener::onAccept, listener.get(), kFlags, kBacklog, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa));
    if (listener->m_listener == nullptr) {
        return fail(ErrorCode::Io, fmt::format("cannot listen on {}: {}", address.toString(), std::strerror(errno)));
    }
    return listener;
}

Listener::Listener(Accepted accepted)
    : m_accepted(std::move(accepted))
{
}

Listener::~Listener()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
}

void Listener::onAccept(evconnlistener * /*listener*/, int descriptor, sockaddr *peer, int /*length*/, void *self)
{
    char ip[INET_ADDRSTRLEN] = "";
    ::inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in *>(peer)->sin_addr, ip, sizeof(ip));
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    static_cast<Listener *>(self)->m_accepted(descriptor, ip);
}

} // namespace Toucandeck
