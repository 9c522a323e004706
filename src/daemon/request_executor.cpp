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
    // The admission controller limits the connections; this limit only has to be higher.
    options.maxConnections = 100'000;
    return options;
}

} // namespace

RequestExecutor::RequestExecutor(const RouterParts &parts,
                                 RouterAgent &agent,
                                 const BackendPresence &presence,
                                 std::function<void()> onConnectionRefused)
    : m_parts(parts)
    , m_agent(agent)
    , m_presence(presence)
    , m_onConnectionRefused(std::move(onConnectionRefused))
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
    , m_executedCounter(parts.metrics.counter("toucandeck_executed_total", "Requests answered by the backend server beside this router."))
    , m_cancelledCounter(
          parts.metrics.counter("toucandeck_cancelled_total", "Requests cancelled at the backend server beside this router."))
    , m_backendSeconds(
          parts.metrics.histogram("toucandeck_backend_seconds", "Answer time of the backend server.", Metrics::latencyBuckets()))
{
}

RequestExecutor::~RequestExecutor()
{
    *m_alive = false;
    for (const auto &it : m_work) {
        it.second->timeoutTimer.cancel();
    }
}

void RequestExecutor::execute(const ForwardId &id, const wire::ForwardRequest &request, ReplyCallback reply)
{
    if (m_workIds.contains(id)) {
        return; // Repeated by the transport; the first delivery gets the reply.
    }
    auto work = std::make_shared<Work>();
    work->id = m_nextWorkId++;
    work->forwardId = id;
    work->request = request;
    work->reply = std::move(reply);
    work->deadline = m_parts.loop.clock().now() + std::chrono::milliseconds(request.deadline_ms());
    work->span = m_parts.tracer.start("execute", request.traceparent());
    m_work[work->id] = work;
    m_workIds[id] = work->id;
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
    work->timeoutTimer = m_parts.loop.after(work->deadline - m_parts.loop.clock().now(), [this, work] { onDeadlinePassed(work); });
    begin(work);
}

void RequestExecutor::begin(const WorkPtr &work)
{
    if (checkOwnership(work) && beginRecord(work)) {
        submitForAdmission(work);
    }
}

bool RequestExecutor::checkOwnership(const WorkPtr &work)
{
    const auto &request = work->request;
    const auto &backend = m_presence.latestAnnouncement();
    const bool isForLocalBackend
        = backend && request.service() == backend->service && (request.instance().empty() || request.instance() == backend->instance);
    if (isForLocalBackend && request.keyed()) {
        work->admission = m_agent.admit(request.service(), work->key());
    }
    if (!isForLocalBackend || m_presence.state() == BackendPresence::State::Absent
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
        finish(work, internal::refusal(Verdict::MayHaveRun, 502, "an earlier attempt may have run; its outcome is unknown"));
    }
    return false;
}

void RequestExecutor::submitForAdmission(const WorkPtr &work)
{
    AdmissionRequest admissionRequest;
    admissionRequest.id = work->id;
    admissionRequest.depth = std::min(work->request.depth(), kMaxDepth);
    admissionRequest.deadline = work->deadline;
    admissionRequest.nested = admissionRequest.depth > 0;
    admissionRequest.statusCheck = work->headers.statusCheck && admissionRequest.nested;
    work->state = Work::State::Queued;
    work->isInAdmission = true;
    const auto decision = m_admission.submit(admissionRequest);
    if (std::holds_alternative<Start>(decision)) {
        dispatch(work);
    } else if (const auto *refused = std::get_if<Refusal>(&decision)) {
        work->isInAdmission = false;
        refuse(*refused);
    }
    scheduleWakeup();
}

void RequestExecutor::dispatch(const WorkPtr &work)
{
    work->state = Work::State::Running;
    work->startTime = m_parts.loop.clock().now();
    // Checked again right before the request is written: the lease may have expired while it was queued.
    if (work->request.keyed()) {
        work->admission = m_agent.admit(work->request.service(), work->key());
    }
    if (work->request.keyed() ? !work->admission : !m_agent.mayServeUnkeyed()) {
        releaseSlot(work, AnswerKind::Cancelled, true);
        finish(work, internal::notOwner());
        return;
    }
    const auto remaining = work->deadline - work->startTime;
    work->httpRequestId
        = m_client.send(m_presence.latestAnnouncement()->address, backendRequest(*work), remaining, [this, work](HttpResult result) {
              onBackendResult(work, std::move(result));
          });
}

HttpRequest RequestExecutor::backendRequest(Work &work) const
{
    HttpRequest request{ work.request.method(), work.request.target(), internal::toHttp(work.request.headers()), work.request.body() };
    auto remaining = work.deadline - work.startTime;
    if (work.admission && !m_presence.latestAnnouncement()->fenced) {
        // Without fencing, no request may run beyond the end of the lease.
        remaining = std::min<Duration>(remaining, work.admission->leaseEnd - work.startTime);
    }
    const auto ms = std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count());
    setHeader(request.headers, "Toucandeck-Deadline-Ms", std::to_string(ms));
    setHeader(request.headers, "Toucandeck-Depth", std::to_string(work.request.depth() + 1));
    setHeader(request.headers, "traceparent", work.span.context().toHeader());
    if (work.admission && m_presence.latestAnnouncement()->fenced) {
        addGrant(work, request.headers);
    }
    return request;
}

void RequestExecutor::addGrant(const Work &work, HttpHeaders &headers) const
{
    const auto &grant = *work.admission;
    if (grant.hotKey) {
        // The epoch of a hot key must not raise that of its partition, whose other keys may have another owner.
        setHeader(headers, "Toucandeck-Hot-Key", fmt::format("{:016x}", grant.hotKey->value));
    } else {
        setHeader(headers, "Toucandeck-Partition", std::to_string(grant.partition.value));
    }
    setHeader(headers, "Toucandeck-Epoch", std::to_string(grant.epoch.value));
    setHeader(headers, "Toucandeck-Grant-Until", std::to_string(grant.leaseEnd.time_since_epoch().count()));
}

} // namespace Toucandeck
