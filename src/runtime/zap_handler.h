#pragma once

#include "runtime/event_loop.h"
#include "runtime/log_throttle.h"
#include "runtime/message_context.h"

#include <functional>
#include <set>
#include <string>

namespace Toucandeck::internal
{

/// Handles ZeroMQ's authentication requests (ZAP, RFC 27) on the event loop: accepts CURVE keys in the allowed set, rejects all else.
class ZapHandler
{
public:
    static Result<std::unique_ptr<ZapHandler>>
    create(EventLoop &loop, const MessageContext &context, std::set<std::string> allowed, std::function<void(std::string)> onRejected);
    void setAllowed(std::set<std::string> allowed);

private:
    ZapHandler(std::set<std::string> allowed, std::function<void(std::string)> onRejected);
    void process();
    void answer(const std::vector<std::string> &request);

    std::set<std::string> m_allowed;
    std::function<void(std::string)> m_onRejected;
    ZmqSocket m_socket;
    EventLoop::Watch m_readable;
};

} // namespace Toucandeck::internal
