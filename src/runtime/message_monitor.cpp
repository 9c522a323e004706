#include "runtime/message_monitor.h"

#include "runtime/message_frames.h"

#include <fmt/format.h>
#include <zmq.h>

namespace Toucandeck::internal
{

Result<std::unique_ptr<MessageMonitor>>
MessageMonitor::create(EventLoop &loop, const MessageContext &context, const ZmqSocket &watched, std::function<void(std::string)> onFailed)
{
    auto monitor = std::unique_ptr<MessageMonitor>(new MessageMonitor(std::move(onFailed)));
    const auto endpoint = fmt::format("inproc://toucandeck.monitor.{}", fmt::ptr(watched.get()));
    // A peer without CURVE may close the connection first; the handshake then fails without details.
    constexpr int kFailures = ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL;
    if (zmq_socket_monitor(watched.get(), endpoint.c_str(), kFailures) != 0) {
        return fail(ErrorCode::Io, std::string("cannot monitor the message socket: ") + zmq_strerror(zmq_errno()));
    }
    BOOST_LEAF_ASSIGN(monitor->m_socket, context.socket(ZMQ_PAIR));
    if (zmq_connect(monitor->m_socket.get(), endpoint.c_str()) != 0) {
        return fail(ErrorCode::Io, std::string("cannot connect to the socket monitor: ") + zmq_strerror(zmq_errno()));
    }
    monitor->m_readable = loop.onReadable(descriptorOf(monitor->m_socket), [raw = monitor.get()] { raw->process(); });
    // The descriptor signals only after the event state has been read once.
    monitor->process();
    return monitor;
}

MessageMonitor::MessageMonitor(std::function<void(std::string)> onFailed)
    : m_onFailed(std::move(onFailed))
{
}

void MessageMonitor::process()
{
    while ((eventsOf(m_socket) & ZMQ_POLLIN) != 0) {
        const auto frames = receiveFrames(m_socket);
        if (frames) {
            m_onFailed(frames->size() > 1 ? (*frames)[1] : "unknown");
        }
    }
}

} // namespace Toucandeck::internal
