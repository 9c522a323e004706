#pragma once

#include "daemon/request_router.h"
#include "routing/hedged_attempts.h"

namespace Toucandeck
{

/// One request of a caller at the router that received it.
struct RequestRouter::Call
{
    std::shared_ptr<HttpExchange> exchange;
    wire::ForwardRequest request; ///< send() sets the fields that differ between attempts.
    TimePoint receiveTime;
    TimePoint deadline;
    unsigned attemptCount = 0;
    HedgedAttempts hedgedAttempts;
    std::vector<std::uint64_t> attemptIds; ///< Ids of all attempts, including finished ones.
    bool mayHaveRun = false; ///< The outcome of an attempt is unknown.
    bool isWaitingForTarget = false; ///< Waits for an owner or an instance before the next attempt.
    std::optional<SessionId> lastTarget;
    Duration retryAfter{};
    Span span;
    EventLoop::Watch deadlineTimer;
    EventLoop::Watch retryTimer;
    EventLoop::Watch hedgeTimer;
};

/// One copy of a request that was sent to an instance.
struct RequestRouter::Attempt
{
    CallPtr call;
    SessionId target;
    std::string address; ///< Message address of its router; empty: this router.
    TimePoint sendTime;
};

} // namespace Toucandeck
