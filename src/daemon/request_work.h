#pragma once

#include "daemon/request_executor.h"
#include "routing/request_headers.h"

namespace Toucandeck
{

/// One request at the router that executes it.
struct RequestExecutor::Work
{
    enum class State {
        WaitingForRecord, ///< Another delivery of the same request is running.
        Queued,
        Running,
        Finished,
    };

    std::uint64_t id = 0;
    ForwardId forwardId;
    wire::ForwardRequest request;
    RequestHeaders headers;
    ReplyCallback reply;
    TimePoint deadline;
    TimePoint startTime;
    State state = State::Queued;
    bool hasRecord = false; ///< Has an idempotency record that must be completed or abandoned.
    bool isInAdmission = false; ///< Queued in the admission controller or using one of its slots.
    std::optional<Admission> admission; ///< Only for keyed requests.
    HttpClient::RequestId httpRequestId = 0;
    Span span;
    EventLoop::Watch timeoutTimer;

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

/// Retry-After of refusals for lack of ownership: the key is served again within 1 s.
constexpr Duration kOwnerRetryAfter = std::chrono::seconds(1);

/// Refusal because this router does not own the key, or no longer does.
wire::ForwardReply notOwner();

/// Reply with a stored answer of the backend server.
wire::ForwardReply replyOf(const StoredAnswer &answer);

} // namespace Toucandeck::internal
