#pragma once

#include "daemon/request_router.h"
#include "routing/hedged_attempts.h"

namespace Toucandeck
{

/// One caller's request at the router that received it.
struct RequestRouter::Call
{
    std::shared_ptr<HttpExchange> exchange;
    wire::ForwardRequest request; ///< Without the fields of the single attempt.
    TimePoint received;
    TimePoint deadline;
    unsigned attempts = 0;
    HedgedAttempts race;
    std::vector<std::uint64_t> attemptIds; ///< Ended ones too.
    bool mayHaveRun = false; ///< An attempt ended without a known outcome.
    bool waiting = false; ///< For an owner or an instance.
    std::optional<SessionId> lastTarget;
    Duration retryAfter{};
    Span span;
    EventLoop::Watch deadlineTimer;
    EventLoop::Watch retryTimer;
    EventLoop::Watch hedgeTimer;
};

/// One forwarded copy of a request.
struct RequestRouter::Attempt
{
    CallPtr call;
    SessionId target;
    std::string address; ///< Empty: this router.
    TimePoint sent;
};

} // namespace Toucandeck
