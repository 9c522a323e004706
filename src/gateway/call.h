#pragma once

#include "common/time.h"
#include "runtime/http_message.h"

#include <functional>
#include <optional>
#include <peer.pb.h>
#include <string>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// A request on its way to a backend server.
struct Call
{
    std::string service;
    std::string requestId;
    HttpRequest request; ///< As the backend server is to receive it, less what the gateway beside it adds.
    TimePoint deadline; ///< Of the caller.
    TimePoint aim; ///< An answer after it is worth less.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    bool idempotent = false;
    bool nested = false; ///< Made by a backend server while it runs another request.
    bool returned = false; ///< The client was turned away before.
    std::optional<std::uint32_t> key;
};

/// What became of a call.
struct CallResult
{
    wire::CallOutcome outcome = wire::NOT_RUN;
    wire::CallReason reason = wire::NONE;
    Duration retryAfter{}; ///< For a call that was refused: when room is expected.
    HttpResponse response; ///< Of a call that was answered.
    std::string instance; ///< Backend server that the call was sent to, or would have been.
    bool reached = false; ///< The call was sent to a backend server.
    double slownessPercent = 0; ///< Of its machine, as the answer reports it; zero if it does not. Not sent on.
    wire::LoadReport load; ///< Of that backend server.
};

using CallDone = std::function<void(CallResult)>;

/// A result for a call that was not run.
CallResult notRun(wire::CallReason reason, Duration retryAfter = {});

/// @param now relates the points in time to the durations that are sent.
wire::CallRequest toWire(const Call &call, TimePoint now);
Call fromWire(const wire::CallRequest &request, TimePoint now);
wire::CallReply toWire(const CallResult &result);
CallResult fromWire(const wire::CallReply &reply);

} // namespace Toucandeck
