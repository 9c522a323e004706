#pragma once

#include "runtime/event_loop.h"

#include <cstddef>
#include <string>

struct evbuffer;
struct event;

namespace Toucandeck::internal
{

/// Writes requests to a connected socket, independently of the stream that reads the responses: after a failed write, a response that has
/// arrived can still be read, and the failure is known at the end of the stream.
class RequestWriter
{
public:
    explicit RequestWriter(EventLoop &loop);
    ~RequestWriter();
    RequestWriter(const RequestWriter &) = delete;
    RequestWriter &operator=(const RequestWriter &) = delete;

    /// Uses the connected, non-blocking @p descriptor from now on. Call stop() before it is closed.
    void start(int descriptor);
    /// Writes the text; what the socket does not take at once follows when it becomes writable.
    void write(std::string text);
    /// Discards unwritten text and the state of the connection.
    void stop();

    /// False as long as text is unwritten, and after a failed write.
    bool isFinished() const;

    /// True if a failed write has consumed the error of the connection. The kernel reports an error once; the stream then seems to end in
    /// order, although the peer has reset the connection. After EPIPE this is false: the peer ended its stream before the reset.
    bool hasConsumedError() const;

private:
    void writeSome();

    EventLoop &m_loop;
    int m_descriptor = -1;
    evbuffer *m_unwritten;
    event *m_writable = nullptr; ///< Exists from the first time that the socket does not take everything at once.
    int m_error = 0; ///< Error number of the failed write.
};

} // namespace Toucandeck::internal
