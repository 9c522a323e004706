#pragma once

#include "common/result.h"

#include <memory>
#include <string>

namespace Toucandeck::internal
{

struct ZmqClose
{
    void operator()(void *socket) const;
};

/// Owner of a ZeroMQ socket.
using ZmqSocket = std::unique_ptr<void, ZmqClose>;

/// Owns the ZeroMQ context (one I/O thread). Must outlive its sockets.
class MessageContext
{
public:
    MessageContext();
    ~MessageContext();
    MessageContext(const MessageContext &) = delete;
    MessageContext &operator=(const MessageContext &) = delete;

    /// @param type for example ZMQ_ROUTER. Fails with Io if the limit on sockets is reached.
    Result<ZmqSocket> socket(int type) const;

private:
    void *m_context;
};

/// Sets an integer option. The options used here are valid for every socket, so a failure is a programming error.
void setOption(const ZmqSocket &socket, int option, int value);
void setOption(const ZmqSocket &socket, int option, const std::string &value);

/// Descriptor that signals a change of the socket's event state.
int descriptorOf(const ZmqSocket &socket);
/// Event state (ZMQ_POLLIN, ZMQ_POLLOUT); reading it resets the descriptor.
int eventsOf(const ZmqSocket &socket);

} // namespace Toucandeck::internal
