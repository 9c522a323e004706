#pragma once

#include "common/ids.h"
#include "ownership/wire_namespace.h"

#include <string>

namespace Toucandeck
{

/// Sends messages from a controller to routers. The implementation fills in sender and message id. Messages may be lost, delayed,
/// repeated and reordered.
class RouterLink
{
public:
    virtual ~RouterLink() = default;

    /// Sends to the router of a session in the replicated state.
    virtual void sendToSession(SessionId session, const wire::Envelope &envelope) = 0;

    /// Sends to a router that has no session yet or no longer has one.
    virtual void sendToAddress(const std::string &address, const wire::Envelope &envelope) = 0;
};

} // namespace Toucandeck
