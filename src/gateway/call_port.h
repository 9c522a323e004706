#pragma once

#include "gateway/call.h"

#include <string>

namespace Toucandeck
{

/// Sends calls to gateways, including this one.
class CallPort
{
public:
    virtual ~CallPort() = default;

    /// Sends a call to the gateway at this address. @p done is called once, after this returns, unless the call is cancelled first.
    /// @return the id for cancel().
    virtual std::uint64_t send(const std::string &ip, const Call &call, CallDone done) = 0;

    /// @p handler is called with the id of each call whose gateway sends nothing for some time; the call may still be answered.
    virtual void setSilenceHandler(std::function<void(std::uint64_t id)> handler) = 0;

    /// Cancels the call, at the other gateway too.
    virtual void cancel(std::uint64_t id) = 0;
};

} // namespace Toucandeck
