#pragma once

#include "gateway/call.h"

#include <string>

namespace Toucandeck
{

/// Sends calls to gateways, the own one included.
class CallPort
{
public:
    virtual ~CallPort() = default;

    /// Sends a call to the gateway at this address. The callback comes once, later, unless the call is cancelled first.
    /// @return names the call for cancel().
    virtual std::uint64_t send(const std::string &ip, const Call &call, CallDone done) = 0;

    /// Breaks the call off at the other gateway too.
    virtual void cancel(std::uint64_t id) = 0;
};

} // namespace Toucandeck
