#pragma once

#include "gateway/call.h"

#include <cstdint>

namespace Toucandeck
{

/// Runs calls at the backend server on this VM.
class BackendPort
{
public:
    virtual ~BackendPort() = default;

    /// Sends the call. @p done is called once, after this returns, unless the call is cancelled first.
    virtual void run(std::uint64_t id, const Call &call, CallDone done) = 0;

    /// Aborts the call; its callback is not called.
    virtual void cancel(std::uint64_t id) = 0;
};

} // namespace Toucandeck
