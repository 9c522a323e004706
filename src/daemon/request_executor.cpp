#include "daemon/request_work.h"

#include "admission/cold_start_ramp.h"
#include "admission/gradient_limit.h"
#include "routing/request_headers.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

HttpClientOptions clientOptions()
{
    HttpClientOptions options;
    // The admission controller bounds the connections; this bound only has to be above it.
    options.maxConnections = 100'000;
    return options;
}

} // namespace

RequestExecutor::RequestExecutor(const RouterParts &parts,
                                 RouterAgent &agent,
                                 const BackendPresence &presence,
                                 std::function<void()> onRefused)
    : m_parts(parts)
    , m_agent(agent)
    , m_presence(presence)
    , m_onRefused(std::move(onRefused))
    , m_client(parts.loop, clientOptions(), parts.logger)
    , m_records(parts.loop.clock())
    , m_admission(
          [&parts] {
              AdmissionOptions options;
              options.queuePerClass = parts.settings.limits.queuePerClass;
              return options;
          }(),
          std::make_unique<GradientLimit>(),
          std::make_unique<ColdStartRamp>(parts.loop.clock()),
          parts.loop.clock(),
          parts.random,
          parts.logger)
    , m_hotKeys(parts.loop.clock())
    , m_executed(parts.metrics.counter("toucandeck_executed_total", "Requests answered by the backend server beside this router."))
    , m_cancelled(parts.metrics.counter("toucandeck_cancelled_total", "Requests cancelled at the backend server beside this router."))
    , m_seconds(parts.metrics.histogram("toucandeck_backend_seconds", "Answer time of the backend server.", Metrics::latencyBuckets()))
{
}

RequestExecutor::~RequestExecutor()
{
    *m_alive = false;
    for (const auto &it : m_work) {
        it.second->timeout.cancel();
    }
}

void RequestExecutor::execute(const ForwardId &id, const wire::ForwardRequest &request, Reply reply)
{
    if (m_ids.contains(id)) {
        return; // Repeated by the transport; the first one is answered.
    }
    auto work = std::make_shared<Work>();
    work->id = m_nextWork++;
    work->forward = id;
    work->request = request;
    work->reply = std::move(reply);
    work->deadline = m_parts.loop.clock().now() + std::chrono::milliseconds(request.deadline_ms());
    work->span = m_parts.tracer.start("execute", request.traceparent());
    m_work[work->id] = work;
    m_ids[id] = work->id;
    const auto headers = internal::toHttp(request.headers());
    const bool valid = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(work->headers,
                              RequestHeaders::parse([&headers](std::string_view name) { return findHeader(headers, name); }));
            return true;
        },
        [&](const Error &error) {
            finish(work, internal::refusal(Verdict::NotRun, 400, error.message));
            return false;
        });
    if (!valid) {
        return;
    }
    if (request.keyed()) {
        m_hotKeys.record(work->key());
    }
    work->timeout = m_parts.loop.after(work->deadline - m_parts.loop.clock().now(), [this, work] { timedOut(work); });
    begin(work);
}

void RequestExecutor::begin(const WorkPtr &work)
{
    if (checkOwnership(work) && beginRecord(work)) {
        offer(work);
    }
}

bool RequestExecutor::checkOwnership(const WorkPtr &work)
{
    const auto &request = work->request;
    const auto &backend = m_presence.latest();
    const bool meant
        = backend && request.service() == backend->service && (request.instance().empty() || request.instance() == backend->instance);
    if (meant && request.keyed()) {
        work->admission = m_agent.admit(request.service(), work->key());
    }
    if (!meant || m_presence.state() == BackendPresence::State::Absent
        || (request.keyed() ? !work->admission : !m_agent.mayServeUnkeyed())) {
        finish(work, internal::notOwner());
        return false;
    }
    return true;
}

bool RequestExecutor::beginRecord(const WorkPtr &work)
{
    if (!work->usesRecord()) {
        return true;
    }
    IdempotencyRequest record;
    record.id = work->recordId();
    record.waiter = work->id;
    if (work->admission) {
        record.partition = work->admission->partition;
        if (work->admission->crashGrantTime) {
            record.outcomeUnknownUntil = outcomeUnknownUntilAfterCrash(*work->admission->crashGrantTime);
        }
    }
    if (work->request.first_sent_ms() != 0) {
        record.firstSent = WallTime(std::chrono::milliseconds(work->request.first_sent_ms()));
    }
    const auto decision = handleError(
        [&]() -> Result<std::optional<BeginResult>> {
            BOOST_LEAF_AUTO(result, m_records.begin(record));
            return std::optional(result);
        },
        [&](const Error &error) {
            finish(work, internal::refusal(Verdict::NotRun, 503, error.message, internal::kOwnerRetryAfter));
            return std::optional<BeginResult>();
        });
    if (!decision) {
        return false;
    }
    if (std::holds_alternative<RunNow>(*decision)) {
        work->hasRecord = true;
        return true;
    }
    if (std::holds_alternative<WaitForRunning>(*decision)) {
        work->state = Work::State::WaitingForRecord;
    } else if (const auto *stored = std::get_if<AnswerStored>(&*decision)) {
        finish(work, internal::replyOf(*stored->answer));
    } else {
        finish(work, internal::refusal(Verdict::MayHaveRun, 502, "a former attempt may have run and its outcome is unknown"));
    }
    return false;
}

void RequestExecutor::offer(const WorkPtr &work)
{
    AdmissionRequest offer;
    offer.id = work->id;
    offer.depth = std::min(work->request.depth(), kMaxDepth);
    offer.deadline = work->deadline;
    offer.nested = offer.depth > 0;
    offer.statusCheck = work->headers.statusCheck && offer.nested;
    work->state = Work::State::Queued;
    work->offered = true;
    const auto decision = m_admission.submit(offer);
    if (std::holds_alternative<Start>(decision)) {
        dispatch(work);
    } else if (const auto *refused = std::get_if<Refusal>(&decision)) {
        work->offered = false;
        refuse(*refused);
    }
    scheduleWakeup();
}

void RequestExecutor::dispatch(const WorkPtr &work)
{
    work->state = Work::State::Running;
    work->started = m_parts.loop.clock().now();
    // Right before the write: the lease may have ended while the request waited.
    if (work->request.keyed()) {
        work->admission = m_agent.admit(work->request.service(), work->key());
    }
    if (work->request.keyed() ? !work->admission : !m_agent.mayServeUnkeyed()) {
        endSlot(work, AnswerKind::Cancelled, true);
        finish(work, internal::notOwner());
        return;
    }
    const auto left = work->deadline - work->started;
    work->http = m_client.send(
        m_presence.latest()->address, backendRequest(*work), left, [this, work](HttpResult result) { answered(work, std::move(result)); });
}

HttpRequest RequestExecutor::backendRequest(Work &work) const
{
    HttpRequest request{ work.request.method(), work.request.target(), internal::toHttp(work.request.headers()), work.request.body() };
    auto left = work.deadline - work.started;
    if (work.admission && !m_presence.latest()->fenced) {
        // Without fencing, no work may outlast the lease.
        left = std::min<Duration>(left, work.admission->leaseEnd - work.started);
    }
    const auto ms = std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    setHeader(request.headers, "Toucandeck-Deadline-Ms", std::to_string(ms));
    setHeader(request.headers, "Toucandeck-Depth", std::to_string(work.request.depth() + 1));
    setHeader(request.headers, "traceparent", work.span.context().toHeader());
    if (work.admission && m_presence.latest()->fenced) {
        addGrant(work, request.headers);
    }
    return request;
}

void RequestExecutor::addGrant(const Work &work, HttpHeaders &headers) const
{
    const auto &grant = *work.admission;
    if (grant.hotKey) {
        // The epoch of a hot key must not raise that of its partition, whose other keys may belong to another router.
        setHeader(headers, "Toucandeck-Hot-Key", fmt::format("{:016x}", grant.hotKey->value));
    } else {
        setHeader(headers, "Toucandeck-Partition", std::to_string(grant.partition.value));
    }
    setHeader(headers, "Toucandeck-Epoch", std::to_string(grant.epoch.value));
    setHeader(headers, "Toucandeck-Grant-Until", std::to_string(grant.leaseEnd.time_since_epoch().count()));
}

} // namespace Toucandeck
