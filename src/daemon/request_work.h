#pragma once

#include "daemon/request_executor.h"
#include "routing/request_headers.h"

namespace Toucandeck
{

/// One request at the router beside the backend server.
struct RequestExecutor::Work
{
    enum class State {
        WaitingForRecord, ///< The same work runs for another delivery.
        Queued,
        Running,
        Ended,
    };

    std::uint64_t id = 0;
    ForwardId forward;
    wire::ForwardRequest request;
    RequestHeaders headers;
    Reply reply;
    TimePoint deadline;
    TimePoint started;
    State state = State::Queued;
    bool hasRecord = false;
    bool offered = false;
    std::optional<Admission> admission; ///< Only of keyed requests.
    HttpClient::RequestId http = 0;
    Span span;
    EventLoop::Watch timeout;

    KeyHash key() const
    {
        return KeyHash{ request.key_hash() };
    }

    IdempotencyId recordId() const
    {
        return { request.service(), key(), request.idempotency_key() };
    }

    bool usesRecord() const
    {
        return !request.idempotency_key().empty() && !isIdempotent(request.method());
    }
};

} // namespace Toucandeck

namespace Toucandeck::internal
{

/// Advice with a refusal because of ownership: a key is served again within 1 s.
constexpr Duration kOwnerRetryAfter = std::chrono::seconds(1);

/// This router does not own the key, or does not own it any more.
wire::ForwardReply notOwner();

/// Reply with an answer that the backend server gave before.
wire::ForwardReply replyOf(const StoredAnswer &answer);

} // namespace Toucandeck::internal
