#pragma once

#include "runtime/event_loop.h"
#include "runtime/message_context.h"

#include <functional>
#include <string>

namespace Toucandeck::internal
{

/// Reports handshakes that failed before authentication: peers without CURVE or with a wrong server key, and lost connections.
class MessageMonitor
{
public:
    static Result<std::unique_ptr<MessageMonitor>>
    create(EventLoop &loop, const MessageContext &context, const ZmqSocket &watched, std::function<void(std::string)> onFailed);

private:
    explicit MessageMonitor(std::function<void(std::string)> onFailed);
    void process();

    std::function<void(std::string)> m_onFailed;
    ZmqSocket m_socket;
    EventLoop::Watch m_readable;
};

} // namespace Toucandeck::internal
