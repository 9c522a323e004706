#pragma once

#include "link/socket_address.h"

#include "runtime/event_loop.h"

#include <functional>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace Toucandeck
{

/// Listening TCP socket.
class Listener
{
public:
    /// Called with an accepted, non-blocking descriptor, which the handler then owns, and the IP address of the peer.
    using AcceptHandler = std::function<void(int descriptor, const std::string &peer)>;

    /// Errors: Io (the address cannot be bound).
    static Result<std::unique_ptr<Listener>> listen(EventLoop &loop, const SocketAddress &address, AcceptHandler handler);
    ~Listener();

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Accepts the connections that are established but wait in the queue; closing the listener would reset them.
    void acceptPending();

private:
    explicit Listener(AcceptHandler handler);
    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *peer, int length, void *self);

    AcceptHandler m_acceptHandler;
    evconnlistener *m_listener = nullptr;
};

} // namespace Toucandeck
