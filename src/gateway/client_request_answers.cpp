#include "gateway/client_request_handler.h"

#include "gateway/events.h"
#include "routing/response_meaning.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kMinRetryAfter{ 60 };
constexpr milliseconds kDefaultRetryAfter{ 250 };
constexpr double kMaxRetryAfterShare = 0.31; ///< Clients retry within a third of the time left until their deadline.
constexpr int kFirstErrorStatus = 500; ///< Lowest status after which clients may retry.

/// True if a call ended for this reason because the service has too little capacity.
bool isLackOfCapacity(wire::CallReason reason)
{
    return reason == wire::OVERLOADED || reason == wire::BUSY || reason == wire::DEADLINE || reason == wire::NESTED_CALLS_REFUSED;
}

} // namespace

void ClientRequestHandler::onResult(const RequestPtr &it, RoutedResult result)
{
    it->callId = 0;
    onNestedResult(*it, result);
    switch (result.result.outcome) {
    case wire::ANSWERED:
        // Gateways of an earlier version pass on such a response.
        if (meaningOf(result.result.response.status, false, it->route->kind == RequestKind::Idempotent) == ResponseMeaning::MayHaveRun) {
            result.result.reason = wire::UNCONFIRMED_REFUSAL;
            failRequest(it, result, 502);
            return;
        }
        answer(it, std::move(result));
        return;
    case wire::NOT_RUN:
        refuse(it, result);
        return;
    default:
        failRequest(it, result, 502);
    }
}

void ClientRequestHandler::remove(const RequestPtr &it)
{
    it->timer.cancel();
    it->holdTimer.cancel(); // Its handler holds the request.
    if (m_pending.erase(it) != 0 && !it->parent.empty()) {
        m_parts.admission.onNestedCallEnded(it->parent);
    }
}

void ClientRequestHandler::onNestedResult(const PendingRequest &it, const RoutedResult &result)
{
    if (m_parts.parents == nullptr) {
        return;
    }
    const auto parent = parentOf(it.requestId);
    if (parent.empty()) {
        return;
    }
    auto end = NestedCallEnd::Failed;
    if (result.result.outcome == wire::ANSWERED) {
        end = result.result.response.status < kFirstErrorStatus ? NestedCallEnd::Served : end;
    } else if (isLackOfCapacity(result.result.reason) && !it.shortened) {
        end = NestedCallEnd::OutOfCapacity;
    }
    m_parts.parents->onNestedCallEnded(parent, end);
}

void ClientRequestHandler::respond(const RequestPtr &it, HttpResponse response, const char *outcome)
{
    remove(it);
    if (response.status >= kFirstErrorStatus) {
        rememberFailure(*it);
    }
    const auto took = m_parts.loop.clock().now() - it->receivedAt;
    m_latency.Observe(std::chrono::duration<double>(took).count());
    m_parts.metrics.counter("toucandeck_requests_total", "Requests of clients by route kind and outcome", { { "outcome", outcome } })
        .Increment();
    it->exchange->respond(std::move(response));
}

void ClientRequestHandler::rememberFailure(const PendingRequest &it)
{
    if (it.clientDeadline != Duration::zero()) {
        m_retryDetector.recordFailure(it.attempt);
    }
}

Duration ClientRequestHandler::sinceFirstAttempt(const PendingRequest &it) const
{
    return it.receivedAt - it.attempt.firstAttempt;
}

void ClientRequestHandler::answer(const RequestPtr &it, RoutedResult result)
{
    if (const auto parent = parentOf(it->requestId); !parent.empty()) {
        m_parts.admission.onNestedCallAnswered(parent);
    }
    m_parts.logger.write(GatewayEvents::kRequestAnswered,
                         { field("request", it->requestId),
                           field("route", it->route->name),
                           field("service", it->service),
                           field("status", result.result.response.status),
                           field("gateway", result.gateway),
                           field("instance", result.result.instance),
                           field("attempts", result.attempts),
                           field("reached", result.reachedBackends),
                           field("took_ms", wholeMs(m_parts.loop.clock().now() - it->receivedAt)),
                           field("client_deadline_ms", wholeMs(it->clientDeadline)),
                           field("since_first_attempt_ms", wholeMs(sinceFirstAttempt(*it))),
                           field("manifest_version", it->manifest->manifest.version) });
    respond(it, std::move(result.result.response), "answered");
}

Duration ClientRequestHandler::retryDelay(Duration hint, Duration left)
{
    // Randomised, so that clients that were refused together do not retry together.
    const double spread = 0.8 + 0.6 * m_parts.random.unit();
    const auto wanted = duration_cast<Duration>(std::max<Duration>(hint, kDefaultRetryAfter) * spread);
    const auto longest = duration_cast<Duration>(left * kMaxRetryAfterShare);
    return std::min(wanted, longest);
}

void ClientRequestHandler::refuse(const RequestPtr &it, const RoutedResult &result)
{
    const auto left = it->deadline - m_parts.loop.clock().now();
    const auto retryAfter = retryDelay(result.result.retryAfter, left);
    m_parts.logger.write(GatewayEvents::kRequestRefused,
                         { field("request", it->requestId),
                           field("route", it->route->name),
                           field("service", it->service),
                           field("reason", wire::CallReason_Name(result.result.reason)),
                           field("gateway", result.gateway),
                           field("attempts", result.attempts),
                           field("reached", result.reachedBackends),
                           field("took_ms", wholeMs(m_parts.loop.clock().now() - it->receivedAt)),
                           field("client_deadline_ms", wholeMs(it->clientDeadline)),
                           field("since_first_attempt_ms", wholeMs(sinceFirstAttempt(*it))),
                           field("left_ms", wholeMs(left)),
                           field("retry_after_ms", wholeMs(retryAfter)),
                           field("manifest_version", it->manifest->manifest.version),
                           field("view_age_ms", wholeMs(m_parts.view.age())) });
    HttpResponse response;
    response.status = 503;
    response.headers.push_back({ m_parts.headers.requestId, it->requestId });
    if (retryAfter >= kMinRetryAfter) {
        it->attempt.retryAt = std::max(it->attempt.retryAt, m_parts.loop.clock().now() + retryAfter);
        response.headers.push_back({ "Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(retryAfter).count()) });
    }
    response.body = fmt::format("the request was not run: {}\n", wire::CallReason_Name(result.result.reason));
    respond(it, std::move(response), "refused");
}

void ClientRequestHandler::failRequest(const RequestPtr &it, const RoutedResult &result, int status)
{
    m_parts.logger.write(GatewayEvents::kRequestFailed,
                         { field("request", it->requestId),
                           field("route", it->route->name),
                           field("service", it->service),
                           field("status", status),
                           field("reason", wire::CallReason_Name(result.result.reason)),
                           field("gateway", result.gateway),
                           field("instance", result.result.instance),
                           field("attempts", result.attempts),
                           field("reached", result.reachedBackends),
                           field("took_ms", wholeMs(m_parts.loop.clock().now() - it->receivedAt)),
                           field("client_deadline_ms", wholeMs(it->clientDeadline)),
                           field("since_first_attempt_ms", wholeMs(sinceFirstAttempt(*it))),
                           field("manifest_version", it->manifest->manifest.version),
                           field("view_age_ms", wholeMs(m_parts.view.age())) });
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ m_parts.headers.requestId, it->requestId });
    response.body = fmt::format("the request may have run: {}\n", wire::CallReason_Name(result.result.reason));
    respond(it, std::move(response), "failed");
}

void ClientRequestHandler::onAnswerTimeout(const RequestPtr &it)
{
    if (it->holdTimer.isActive()) {
        it->holdTimer.cancel();
        refuse(it, { notRun(wire::DEADLINE), 0, 0, "" });
        return;
    }
    if (it->callId == 0) {
        return;
    }
    m_parts.router.cancel(std::exchange(it->callId, 0));
    RoutedResult result;
    result.result.reason = wire::DEADLINE;
    onNestedResult(*it, result);
    failRequest(it, result, 504);
}

void ClientRequestHandler::onClientDisconnected(const RequestPtr &it)
{
    remove(it);
    rememberFailure(*it);
    m_parts.logger.write(GatewayEvents::kRequestAbandoned,
                         { field("request", it->requestId),
                           field("route", it->route->name),
                           field("took_ms", wholeMs(m_parts.loop.clock().now() - it->receivedAt)) });
    m_parts.metrics.counter("toucandeck_requests_total", "Requests of clients by route kind and outcome", { { "outcome", "abandoned" } })
        .Increment();
    if (it->callId != 0) {
        m_parts.router.cancel(std::exchange(it->callId, 0));
    }
}

} // namespace Toucandeck
