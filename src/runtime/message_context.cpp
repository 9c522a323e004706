#include "runtime/message_context.h"

#include "common/assert.h"

#include <zmq.h>

namespace Toucandeck::internal
{

namespace
{

/// Time in which messages already queued at close, such as a Release, can still be sent; bounds the time a process takes to exit.
constexpr int kLingerMs = 200;

/// A deployment has 580 nodes; restarts within the idle timeout add more connections. The ZeroMQ default is 1,023.
constexpr int kMaxSockets = 8192;

} // namespace

void ZmqClose::operator()(void *socket) const
{
    zmq_close(socket);
}

MessageContext::MessageContext()
    : m_context(zmq_ctx_new())
{
    TOUCANDECK_ASSERT(m_context != nullptr, "zmq_ctx_new fails only without memory");
    zmq_ctx_set(m_context, ZMQ_MAX_SOCKETS, kMaxSockets);
}

MessageContext::~MessageContext()
{
    zmq_ctx_term(m_context);
}

Result<ZmqSocket> MessageContext::socket(int type) const
{
    ZmqSocket socket(zmq_socket(m_context, type));
    if (!socket) {
        return fail(ErrorCode::Io, std::string("cannot create a message socket: ") + zmq_strerror(zmq_errno()));
    }
    setOption(socket, ZMQ_LINGER, kLingerMs);
    return socket;
}

void setOption(const ZmqSocket &socket, int option, int value)
{
    const int ec = zmq_setsockopt(socket.get(), option, &value, sizeof value);
    TOUCANDECK_ASSERT(ec == 0, "the option and its value are valid for this socket");
}

void setOption(const ZmqSocket &socket, int option, const std::string &value)
{
    const int ec = zmq_setsockopt(socket.get(), option, value.c_str(), value.size());
    TOUCANDECK_ASSERT(ec == 0, "the option and its value are valid for this socket");
}

int descriptorOf(const ZmqSocket &socket)
{
    int descriptor = -1;
    std::size_t size = sizeof descriptor;
    zmq_getsockopt(socket.get(), ZMQ_FD, &descriptor, &size);
    return descriptor;
}

int eventsOf(const ZmqSocket &socket)
{
    int events = 0;
    std::size_t size = sizeof events;
    zmq_getsockopt(socket.get(), ZMQ_EVENTS, &events, &size);
    return events;
}

} // namespace Toucandeck::internal
