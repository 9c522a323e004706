#include "daemon/request_call.h"

#include "common/key_hash.h"
#include "routing/two_choices.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

/// Time after the deadline in which a reply that the owner sent at the deadline may arrive; the maximum one-way delay is 8 ms.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(25);

constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// Delay before the next attempt unless the view changes earlier. An owner that refuses may have a newer view than this router.
constexpr Duration kOwnerRetryDelay = std::chrono::milliseconds(20);

std::string keyText(const ServiceSettings &settings)
{
    switch (settings.keySource) {
    case KeySource::Segment:
        return fmt::format("segment:{}", settings.segment);
    case KeySource::Header:
        return "header:" + settings.header;
    case KeySource::None:
        break;
    }
    return "none";
}

int statusOf(const Error &error)
{
    return error.code == ErrorCode::NotFound ? 404 : error.code == ErrorCode::InvalidArgument ? 400 : 503;
}

} // namespace

RequestRouter::RequestRouter(const RouterParts &parts, RouterAgent &agent, RequestExecutor &executor)
    : m_parts(parts)
    , m_agent(agent)
    , m_executor(executor)
    , m_instanceStats(parts.loop.clock(), parts.logger)
    , m_chooser(std::make_unique<TwoChoices>(parts.random))
    , m_retryPolicy(std::make_unique<VerdictRetry>(parts.loop.clock(), parts.random))
    , m_hedgePolicy(std::make_unique<QuantileHedge>(parts.loop.clock()))
    , m_nextAttemptId(parts.random.next()) // Random, so that no reply to an earlier process at this address matches.
    , m_requestSeconds(
          parts.metrics.histogram("toucandeck_request_seconds", "Answer time of callers' requests.", Metrics::latencyBuckets()))
    , m_lateReplyCount(parts.metrics.counter("toucandeck_late_answers_total", "Replies that arrived after their request had ended."))
    , m_retryCount(parts.metrics.counter("toucandeck_retries_total", "Repeated attempts."))
    , m_hedgeCount(parts.metrics.counter("toucandeck_hedges_total", "Second attempts while the first one was slow."))
    , m_forwardCount(parts.metrics.counter("toucandeck_forwards_total", "Attempts sent to other routers."))
{
    for (const auto it : { Verdict::NotRun, Verdict::Ran, Verdict::MayHaveRun }) {
        m_answerCounters[it]
            = &parts.metrics.counter("toucandeck_requests_total", "Answers to callers.", { { "verdict", std::string(toString(it)) } });
    }
}

RequestRouter::~RequestRouter()
{
    const auto calls = m_calls;
    for (const auto &it : calls) {
        it->exchange->onClosed([] {});
        removeCall(it);
    }
}

void RequestRouter::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_calls.size() >= m_parts.settings.limits.maxWaitingRequests) {
        exchange->respond(internal::toResponse(internal::refusal(Verdict::NotRun, 503, "too many requests in progress", kRetryAfter)));
        return;
    }
    auto call = std::make_shared<Call>();
    call->exchange = exchange;
    call->receiveTime = m_parts.loop.clock().now();
    call->span = m_parts.tracer.start("request", exchange->request().header("traceparent").value_or(""));
    m_calls.insert(call);
    exchange->onClosed([this, call] {
        cancelAll(call);
        removeCall(call);
    });
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(prepare(*call));
            start(call);
            return {};
        },
        [&](const Error &error) { answer(call, internal::refusal(Verdict::NotRun, statusOf(error), error.message, kRetryAfter)); });
}

Result<void> RequestRouter::prepare(Call &call)
{
    const auto &http = call.exchange->request();
    BOOST_LEAF_AUTO(headers, RequestHeaders::parse([&http](std::string_view name) { return http.header(name); }));
    const auto &limits = m_parts.settings.limits;
    const Duration requested = headers.deadline ? Duration(*headers.deadline) : limits.defaultDeadline;
    call.deadline = call.receiveTime + std::min(requested, limits.maxDeadline);
    const auto slash = http.target.find_first_of("/?", 1);
    auto &request = call.request;
    request.set_service(http.target.substr(1, slash == std::string::npos ? slash : slash - 1));
    request.set_target(slash == std::string::npos      ? "/"
                           : http.target[slash] == '?' ? "/" + http.target.substr(slash)
                                                       : http.target.substr(slash));
    request.set_method(http.method);
    request.set_body(http.body);
    request.set_depth(headers.depth);
    request.set_idempotency_key(headers.idempotencyKey);
    request.set_first_sent_ms(headers.firstSent ? headers.firstSent->time_since_epoch().count() : 0);
    request.set_traceparent(call.span.context().toHeader());
    internal::copyHeaders(http.headers, *request.mutable_headers());
    call.span.tag("service", request.service());
    const std::string_view target = request.target();
    return readKey(call, target.substr(0, target.find('?')));
}

Result<void> RequestRouter::readKey(Call &call, std::string_view path)
{
    auto &request = call.request;
    const auto &view = m_agent.view();
    if (view.version() == LogIndex{}) {
        return fail(ErrorCode::Unavailable, "this router has no view of the deployment yet");
    }
    if (view.instancesOf(request.service()).empty() && view.row({ request.service(), "", "" }) == nullptr) {
        return fail(ErrorCode::NotFound, fmt::format("no service '{}'", request.service()));
    }
    BOOST_LEAF_AUTO(extractor, KeyExtractor::parse(keyText(view.serviceSettings(request.service()))));
    const auto &http = call.exchange->request();
    // In a service partitioned by Idempotency-Key, each submission has an owner; look-ups carry no such key and go to any instance.
    if (isIdempotent(http.method) && extractor.isByHeader(kIdempotencyKeyHeader) && !http.header(kIdempotencyKeyHeader)) {
        return {};
    }
    BOOST_LEAF_AUTO(key, extractor.extract(path, [&http](std::string_view name) { return http.header(name); }));
    request.set_keyed(key.has_value());
    request.set_key_hash(key ? hashKey(*key).value : 0);
    return {};
}

void RequestRouter::start(const CallPtr &call)
{
    m_retryPolicy->countRequest();
    call->deadlineTimer
        = m_parts.loop.after(call->deadline + kDeadlineGrace - m_parts.loop.clock().now(), [this, call] { onDeadlinePassed(call); });
    if (!call->request.keyed()) {
        scheduleHedge(call);
    }
    tryAttempt(call);
}

void RequestRouter::tryAttempt(const CallPtr &call)
{
    call->isWaitingForTarget = false;
    if (m_parts.loop.clock().now() >= call->deadline) {
        onDeadlinePassed(call);
        return;
    }
    const auto target = chooseTarget(*call, false);
    if (target) {
        send(call, *target);
    } else {
        waitForOwner(call);
    }
}

std::optional<SessionId> RequestRouter::chooseTarget(Call &call, bool isHedge)
{
    if (!call.request.keyed()) {
        return chooseInstance(call, isHedge);
    }
    const auto owner = m_agent.view().ownerOf(call.request.service(), KeyHash{ call.request.key_hash() });
    if (!owner || !owner->session || owner->isMoving() || m_agent.view().session(owner->session) == nullptr) {
        return std::nullopt;
    }
    call.request.set_partition(owner->partition.value);
    call.request.set_epoch(owner->epoch.value);
    return owner->session;
}

std::optional<SessionId> RequestRouter::chooseInstance(Call &call, bool isHedge)
{
    const auto &service = call.request.service();
    const auto candidates = m_instanceStats.candidates(m_agent.view(), service, m_parts.settings.failureDomain);
    if (isIdempotent(call.request.method()) && !isHedge && call.attemptCount == 0) {
        if (const auto probe = m_instanceStats.takeProbe(service)) {
            return SessionId{ *probe };
        }
    }
    std::optional<std::size_t> excluded;
    for (std::size_t i = 0; i < candidates.size() && call.lastTarget; ++i) {
        if (candidates[i].instance == call.lastTarget->value) {
            excluded = i;
        }
    }
    auto chosen = m_chooser->choose(candidates, excluded);
    if (!chosen && !isHedge) {
        chosen = m_chooser->choose(candidates);
    }
    return chosen ? std::optional(SessionId{ candidates[*chosen].instance }) : std::nullopt;
}

void RequestRouter::send(const CallPtr &call, SessionId target)
{
    const auto *session = m_agent.view().session(target);
    if (session == nullptr) {
        waitForOwner(call);
        return;
    }
    const auto id = m_nextAttemptId++;
    const auto now = m_parts.loop.clock().now();
    const bool local = target == m_agent.session();
    auto &request = call->request;
    request.set_request(id);
    request.set_instance(session->instance());
    request.set_attempt(call->attemptCount++);
    request.set_deadline_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(call->deadline - now).count())));
    call->lastTarget = target;
    call->hedgedAttempts.add(id);
    call->attemptIds.push_back(id);
    m_attempts[id] = { call, target, local ? std::string() : session->message_address(), now };
    m_instanceStats.onAttemptSent(target);
    if (local) {
        m_executor.execute({ "", id }, request, [this, id](const wire::ForwardReply &reply) { finishAttempt(id, reply, true); });
        return;
    }
    m_forwardCount.Increment();
    if (!session->public_key().empty()) {
        m_parts.messages.setPeerKey(session->message_address(), session->public_key());
    }
    wire::Envelope envelope;
    *envelope.mutable_forward_request() = request;
    if (!m_parts.messages.send(session->message_address(), std::move(envelope))) {
        finishAttempt(id, internal::refusal(Verdict::NotRun, 503, "the owner's router cannot be reached", kRetryAfter), false);
    }
}

void RequestRouter::waitForOwner(const CallPtr &call)
{
    call->isWaitingForTarget = true;
    call->retryTimer = m_parts.loop.after(kOwnerRetryDelay, [this, call] { tryAttempt(call); });
}

void RequestRouter::onViewChanged()
{
    if (m_lastViewVersion == m_agent.view().version()) {
        return;
    }
    m_lastViewVersion = m_agent.view().version();
    m_instanceStats.prune(m_agent.view());
    std::vector<std::uint64_t> lostAttempts;
    for (const auto &[id, attempt] : m_attempts) {
        if (!attempt.address.empty() && m_agent.view().session(attempt.target) == nullptr) {
            lostAttempts.push_back(id);
        }
    }
    for (const auto id : lostAttempts) {
        finishAttempt(id, internal::refusal(Verdict::MayHaveRun, 502, "the session of the owner's router has ended"), false);
    }
    const auto calls = m_calls;
    for (const auto &it : calls) {
        if (it->isWaitingForTarget) {
            tryAttempt(it);
        }
    }
}

bool RequestRouter::isIdle() const
{
    return m_calls.empty();
}

std::size_t RequestRouter::inFlight() const
{
    return m_calls.size();
}

} // namespace Toucandeck
