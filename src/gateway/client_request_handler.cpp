#include "gateway/client_request_handler.h"

#include "gateway/events.h"

#include <algorithm>
#include <charconv>

namespace Toucandeck
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// The gateway that runs a call replies by the deadline; a request without a reply fails this long after it.
constexpr milliseconds kAnswerGrace{ 120 };
constexpr std::chrono::hours kMaxClientWait{ 1 }; ///< Larger numbers in a request are taken as this, so that times do not overflow.

std::optional<std::uint64_t> readNumber(std::optional<std::string_view> text)
{
    std::uint64_t n = 0;
    if (!text) {
        return std::nullopt;
    }
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), n);
    if (ec != std::errc() || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return n;
}

Duration clientWait(std::uint64_t deadlineMs)
{
    const auto longest = duration_cast<milliseconds>(kMaxClientWait);
    return milliseconds(std::min(deadlineMs, static_cast<std::uint64_t>(longest.count())));
}

/// True if a Connection header names this header as belonging to the connection.
bool isNamedByConnection(const HttpHeaders &headers, std::string_view name)
{
    const auto connection = findHeader(headers, "Connection");
    std::string_view rest = connection.value_or(std::string_view());
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        auto token = rest.substr(0, comma);
        const auto first = token.find_first_not_of(" \t");
        const auto last = token.find_last_not_of(" \t");
        token = first == std::string_view::npos ? std::string_view() : token.substr(first, last - first + 1);
        if (equalHeaderNames(token, name)) {
            return true;
        }
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
    return false;
}

} // namespace

ClientRequestHandler::ClientRequestHandler(const ClientRequestHandlerParts &parts, std::function<std::string()> callerService)
    : m_parts(parts)
    , m_callerService(std::move(callerService))
    , m_split(parts.random)
    , m_retryDetector(parts.loop.clock())
    , m_latency(parts.metrics.histogram("toucandeck_request_seconds", "Time to the answer, by the client", Metrics::latencyBuckets()))
{
}

void ClientRequestHandler::reject(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &reason)
{
    const auto &request = exchange->request();
    const auto id = request.header(m_parts.headers.requestId);
    m_parts.logger.write(GatewayEvents::kRequestInvalid,
                         { field("request", id.value_or("")),
                           field("status", status),
                           field("reason", reason),
                           field("manifest_version", m_parts.view.manifestVersion()) });
    HttpResponse response;
    response.status = status;
    response.body = reason + "\n";
    if (status == 503) {
        response.headers.push_back({ "Retry-After", "0.3" });
    }
    exchange->respond(std::move(response));
}

void ClientRequestHandler::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_refusesNewRequests) {
        reject(exchange, 503, "the gateway is shutting down");
        return;
    }
    const auto &request = exchange->request();
    const auto manifest = m_parts.view.manifest();
    if (!manifest) {
        reject(exchange, 503, "no manifest is known yet");
        return;
    }
    const auto *route = manifest->routes.find(request.header("Host").value_or(""), request.path());
    if (route == nullptr) {
        reject(exchange, 404, "no route matches the host and path");
        return;
    }
    const auto it = std::make_shared<PendingRequest>();
    it->exchange = exchange;
    it->manifest = manifest;
    it->route = route;
    it->receivedAt = exchange->receivedAt();
    it->requestId = request.header(m_parts.headers.requestId).value_or("");
    auto call = makeCall(*it, request);
    call.request.body = std::move(exchange->request().body); // Moved, because a body may occupy a large part of the memory.
    it->deadline = call.deadline;
    m_pending.insert(it);
    if (!it->parent.empty()) {
        m_parts.admission.onNestedCallStarted(it->parent);
    }
    exchange->setDisconnectHandler([this, it] { onClientDisconnected(it); });
    startTimer(it);
    if (m_parts.parents != nullptr && call.nested && call.deadline <= m_parts.loop.clock().now()) {
        refuse(it, { notRun(wire::DEADLINE), 0, 0, "" });
        return;
    }
    if (isEarlyRetry(*it, call)) {
        hold(it, std::move(call));
        return;
    }
    send(it, std::move(call));
}

void ClientRequestHandler::send(const RequestPtr &it, Call call)
{
    const auto *route = it->route;
    const AttemptPolicy policy{ route->kind == RequestKind::Idempotent, std::max(1U, route->maxAttempts) };
    it->callId = m_parts.router.route(std::move(call), policy, [this, it](RoutedResult result) { onResult(it, std::move(result)); });
}

bool ClientRequestHandler::isEarlyRetry(const PendingRequest &it, const Call &call) const
{
    return m_parts.parents != nullptr && call.clientRetry && it.attempt.retryAt > m_parts.loop.clock().now();
}

void ClientRequestHandler::hold(const RequestPtr &it, Call call)
{
    const auto wait = it->attempt.retryAt - m_parts.loop.clock().now();
    if (it->attempt.retryAt >= it->deadline) {
        refuse(it, { notRun(wire::OVERLOADED), 0, 0, "" });
        return;
    }
    ++m_heldRetries;
    m_parts.logger.write(GatewayEvents::kRetryHeld,
                         { field("request", it->requestId), field("route", it->route->name), field("wait_ms", wholeMs(wait)) });
    it->holdTimer = m_parts.loop.after(wait, [this, it, call = std::move(call)]() mutable {
        call.deadline = std::min(call.deadline, m_answerLimit);
        send(it, std::move(call));
    });
}

void ClientRequestHandler::startTimer(const RequestPtr &it)
{
    const auto end = std::min(it->deadline + kAnswerGrace, m_answerLimit);
    it->timer
        = m_parts.loop.after(std::max<Duration>(end - m_parts.loop.clock().now(), Duration::zero()), [this, it] { onAnswerTimeout(it); });
}

Call ClientRequestHandler::makeCall(PendingRequest &pending, const HttpRequest &request)
{
    const auto &route = *pending.route;
    Call call;
    call.service = m_split.next(route);
    pending.service = call.service;
    call.requestId = pending.requestId;
    call.request = { request.method, request.target, forwardedHeaders(request), {} };
    call.rank = route.rank;
    call.idempotent = route.kind == RequestKind::Idempotent;
    const auto sent = readNumber(request.header(m_parts.headers.deadlineMs));
    const Duration wait = sent ? clientWait(*sent) : route.timeout;
    call.deadline = std::min(pending.receivedAt + std::min(wait, route.timeout), m_answerLimit);
    const auto parent = parentOf(pending.requestId);
    pending.parent = parent;
    call.nested = !parent.empty();
    call.siblingAnswers = m_parts.admission.answeredCalls(parent);
    if (call.nested && m_parts.parents != nullptr) {
        passOnParent(parent, pending, call);
    }
    pending.attempt.firstAttempt = pending.receivedAt;
    call.clientRetry = sent && !call.nested && detectRetry(pending, request, wait);
    call.targetTime = pending.attempt.firstAttempt + route.targetLatency;
    const auto key = readNumber(request.header(m_parts.headers.key));
    if (key && *key < kKeyCount) {
        call.key = static_cast<std::uint32_t>(*key);
    }
    return call;
}

void ClientRequestHandler::passOnParent(std::string_view parent, PendingRequest &pending, Call &call)
{
    const auto now = m_parts.loop.clock().now();
    const auto own = call.deadline - now;
    m_parts.parents->passOn(parent, call);
    pending.shortened = (call.deadline - now) * 2 < own;
}

bool ClientRequestHandler::detectRetry(PendingRequest &pending, const HttpRequest &request, Duration wait)
{
    auto &attempt = pending.attempt;
    pending.clientDeadline = wait;
    attempt.fingerprint = RetryDetector::fingerprint(request);
    attempt.deadline = pending.receivedAt + wait;
    attempt.firstAttempt = pending.receivedAt;
    const auto earlier = m_retryDetector.takeAttempt(attempt.fingerprint, attempt.deadline);
    if (earlier) {
        attempt.firstAttempt = earlier->firstAttempt;
        attempt.retryAt = earlier->retryAt;
    }
    return earlier.has_value();
}

std::string_view ClientRequestHandler::parentOf(const std::string &requestId) const
{
    const auto end = requestId.rfind(m_parts.headers.nestedIdSeparator);
    if (end == std::string::npos) {
        return {};
    }
    const auto parent = std::string_view(requestId).substr(0, end);
    return m_parts.admission.isRunning(parent) ? parent : std::string_view();
}

HttpHeaders ClientRequestHandler::forwardedHeaders(const HttpRequest &request) const
{
    const auto &names = m_parts.headers;
    HttpHeaders headers;
    for (const auto &it : request.headers) {
        const bool host = equalHeaderNames(it.name, "Host");
        const bool ours = equalHeaderNames(it.name, names.callerService) || equalHeaderNames(it.name, names.expectedInstance)
            || equalHeaderNames(it.name, names.deadlineMs);
        if (host || (!ours && !isHopByHop(it.name) && !isNamedByConnection(request.headers, it.name))) {
            headers.push_back(it);
        }
    }
    headers.push_back({ names.callerService, m_callerService() });
    return headers;
}

void ClientRequestHandler::setAnswerLimit(TimePoint limit)
{
    m_answerLimit = limit;
    for (const auto &it : m_pending) {
        startTimer(it);
    }
}

std::uint64_t ClientRequestHandler::heldRetries() const
{
    return m_heldRetries;
}

std::size_t ClientRequestHandler::splitCount() const
{
    return m_split.size();
}

void ClientRequestHandler::onManifestChanged(const Manifest &manifest)
{
    m_split.retain(manifest);
}

void ClientRequestHandler::refuseNewRequests()
{
    m_refusesNewRequests = true;
}

std::size_t ClientRequestHandler::pendingCount() const
{
    return m_pending.size();
}

} // namespace Toucandeck
