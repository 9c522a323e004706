#pragma once

#include "gateway/grant_port.h"

#include "runtime/http_message.h"

namespace Toucandeck
{

/// Format of the calls about keys. An adapter defines paths and bodies.
class GrantCodec
{
public:
    virtual ~GrantCodec() = default;

    virtual HttpRequest grantRequest(const GrantCall &call) const = 0;
    virtual HttpRequest releaseRequest(const ReleaseCall &call) const = 0;
    /// Token for the next holder in the answer to a release; empty if there is none.
    virtual std::string handover(const HttpResponse &response) const = 0;
};

} // namespace Toucandeck
