#pragma once

#include "link/socket_address.h"

#include "runtime/event_loop.h"

#include <functional>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace Toucandeck
{

/// Accepts TCP connections on an address.
class Listener
{
public:
    /// Receives an accepted, non-blocking descriptor, which the callee owns, and the IP address of the peer.
    using Accepted = std::function<void(int descriptor, const std::string &peer)>;

    /// Errors: Io (the address cannot be bound).
    static Result<std::unique_ptr<Listener>> listen(EventLoop &loop, const SocketAddress &address, Accepted accepted);
    ~Listener();

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

private:
    explicit Listener(Accepted accepted);
    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *peer, int length, void *self);

    Accepted m_accepted;
    evconnlistener *m_listener = nullptr;
};

} // namespace Toucandeck
