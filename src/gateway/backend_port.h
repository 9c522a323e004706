#pragma once

#include "gateway/call.h"

#include <cstdint>

namespace Toucandeck
{

/// Runs calls at the backend server beside this gateway.
class BackendPort
{
public:
    virtual ~BackendPort() = default;

    /// Sends the call. The callback comes once, later, unless the call is cancelled first.
    virtual void run(std::uint64_t id, const Call &call, CallDone done) = 0;

    /// Breaks the call off.
    virtual void cancel(std::uint64_t id) = 0;
};

} // namespace Toucandeck
