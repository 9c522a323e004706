#include "daemon/request_work.h"

#include "routing/request_headers.h"
#include "routing/response_meaning.h"
#include "state/view.h"

#include <algorithm>
#include <numbers>

namespace Toucandeck
{

namespace
{

/// Half-life of the counts in the hot key sketch; must equal the HotKeyOptions::halfLife that the sketch is constructed with.
const Duration kHotKeyHalfLife = HotKeyOptions().halfLife;

/// Maximum number of hot keys in a load report. The controllers move at most as many keys as are hot at once (design section 1).
constexpr std::size_t kMaxReportedHotKeys = 16;

/// Minimum rate of a reported hot key, in requests per second. A lower rate does not justify the cost of moving the key alone.
constexpr double kMinHotKeyRate = 1;

ServingState toServingState(wire::RowState state)
{
    return state == wire::OUT ? ServingState::Out : state == wire::LEAVING ? ServingState::Leaving : ServingState::Serving;
}

bool contains(const OwnedItems &items, const Admission &admission)
{
    if (admission.hotKey) {
        return std::find(items.hotKeys.begin(), items.hotKeys.end(), *admission.hotKey) != items.hotKeys.end();
    }
    return std::find(items.partitions.begin(), items.partitions.end(), admission.partition) != items.partitions.end();
}

} // namespace

wire::ForwardReply internal::notOwner()
{
    auto reply = refusal(Verdict::NotRun, 503, "this router does not own the key", kOwnerRetryAfter);
    reply.set_not_owner(true);
    return reply;
}

wire::ForwardReply internal::replyOf(const StoredAnswer &answer)
{
    wire::ForwardReply reply;
    reply.set_verdict(wire::RAN);
    reply.set_status(answer.status);
    for (const auto &[name, value] : answer.headers) {
        auto &field = *reply.add_headers();
        field.set_name(name);
        field.set_value(value);
    }
    reply.set_body(answer.body);
    return reply;
}

void RequestExecutor::onDeadlinePassed(const WorkPtr &work)
{
    // A running request is ended by the timeout of its HTTP request.
    if (work->state == Work::State::WaitingForRecord) {
        m_records.removeWaiter(work->recordId(), work->id);
        finish(work,
               internal::refusal(Verdict::MayHaveRun, 504, "another delivery of the same request did not finish before the deadline"));
    } else if (work->state == Work::State::Queued) {
        m_admission.cancel(work->id);
        work->isInAdmission = false;
        finish(work, internal::refusal(Verdict::NotRun, 503, "no slot was free before the deadline", internal::kOwnerRetryAfter));
    }
}

void RequestExecutor::onBackendResult(const WorkPtr &work, HttpResult result)
{
    if (work->state != Work::State::Running) {
        return;
    }
    m_backendSeconds.Observe(std::chrono::duration<double>(m_parts.loop.clock().now() - work->startTime).count());
    if (!result.response) {
        if (result.verdict == Verdict::NotRun && result.code == ErrorCode::Unavailable) {
            m_onConnectionRefused();
        }
        releaseSlot(work, AnswerKind::Failed, false);
        const int status = result.code == ErrorCode::DeadlineExceeded ? 504 : result.verdict == Verdict::NotRun ? 503 : 502;
        finish(work, internal::refusal(result.verdict, status, "backend server: " + result.error, internal::kOwnerRetryAfter));
        return;
    }
    m_executedCounter.Increment();
    auto &response = *result.response;
    const bool shed = response.status == 429 || response.status == 503;
    releaseSlot(work, shed ? AnswerKind::Shed : AnswerKind::Ok, result.connectionKept);
    // A backend server may state the verdict. Without one, a request that got a status that promises "not run" may have been started.
    const auto statedVerdict = verdictFromString(response.header("Toucandeck-Verdict").value_or(""));
    const bool repeatable = isIdempotent(work->request.method()) && !shed; // 429 and 503 guarantee not-run for all methods.
    const auto meaning = meaningOf(response.status, statedVerdict == Verdict::NotRun, repeatable);
    const auto verdict = statedVerdict.value_or(meaning == ResponseMeaning::MayHaveRun ? Verdict::MayHaveRun : Verdict::Ran);
    wire::ForwardReply reply;
    reply.set_verdict(internal::toWire(verdict));
    reply.set_status(static_cast<std::uint32_t>(meaning == ResponseMeaning::MayHaveRun ? 502 : response.status));
    if (verdict == Verdict::NotRun && !shed) {
        reply.set_status(503);
    }
    internal::copyHeaders(response.headers, *reply.mutable_headers());
    reply.set_body(std::move(response.body));
    finish(work, std::move(reply));
}

void RequestExecutor::releaseSlot(const WorkPtr &work, AnswerKind kind, bool connectionKept)
{
    if (std::exchange(work->isInAdmission, false)) {
        m_admission.onRequestFinished(work->id, { kind, m_parts.loop.clock().now() - work->startTime, connectionKept });
        schedulePoll();
    }
}

void RequestExecutor::finish(const WorkPtr &work, wire::ForwardReply reply)
{
    if (work->state == Work::State::Finished) {
        return;
    }
    work->state = Work::State::Finished;
    work->timeoutTimer.cancel();
    m_workIds.erase(work->forwardId);
    m_work.erase(work->id);
    completeRecord(work, reply);
    work->span.tag("verdict", std::string(toString(internal::fromWire(reply.verdict()))));
    work->span.finish();
    reply.set_request(work->forwardId.request);
    reply.set_in_flight(m_admission.inFlight());
    reply.set_queued(static_cast<std::uint32_t>(m_admission.queueSize()));
    if (const auto replyTo = std::exchange(work->reply, nullptr)) {
        replyTo(std::move(reply));
    }
}

void RequestExecutor::completeRecord(const WorkPtr &work, const wire::ForwardReply &reply)
{
    if (!std::exchange(work->hasRecord, false)) {
        return;
    }
    const auto verdict = internal::fromWire(reply.verdict());
    std::vector<std::uint64_t> waiters;
    if (verdict == Verdict::Ran) {
        StoredAnswer answer{ reply.status(), {}, reply.body() };
        for (const auto &it : reply.headers()) {
            answer.headers.emplace_back(it.name(), it.value());
        }
        waiters = m_records.complete(work->recordId(), std::move(answer));
    } else {
        waiters = m_records.abandon(work->recordId(), verdict);
    }
    for (const auto it : waiters) {
        const auto waiter = m_work.find(it);
        if (waiter == m_work.end()) {
            continue;
        }
        const auto other = waiter->second;
        if (verdict == Verdict::NotRun) {
            begin(other);
        } else {
            finish(other, reply);
        }
    }
}

Verdict RequestExecutor::cancel(const ForwardId &id)
{
    const auto it = m_workIds.find(id);
    if (it == m_workIds.end()) {
        return Verdict::MayHaveRun;
    }
    const auto work = m_work.at(it->second);
    work->reply = nullptr;
    switch (work->state) {
    case Work::State::WaitingForRecord:
        m_records.removeWaiter(work->recordId(), work->id);
        finish(work, internal::refusal(Verdict::MayHaveRun, 499, "cancelled"));
        return Verdict::MayHaveRun;
    case Work::State::Queued:
        m_admission.cancel(work->id);
        work->isInAdmission = false;
        finish(work, internal::refusal(Verdict::NotRun, 499, "cancelled"));
        return Verdict::NotRun;
    case Work::State::Running:
        return work->hasRecord ? Verdict::MayHaveRun : cancelRunning(work);
    case Work::State::Finished:
        break;
    }
    return Verdict::MayHaveRun;
}

Verdict RequestExecutor::cancelRunning(const WorkPtr &work)
{
    const auto verdict = m_client.cancel(work->httpRequestId) ? Verdict::MayHaveRun : Verdict::NotRun;
    m_cancelledCounter.Increment();
    releaseSlot(work, AnswerKind::Cancelled, false);
    finish(
        work,
        internal::refusal(verdict, verdict == Verdict::NotRun ? 503 : 502, "cancelled at the backend server", internal::kOwnerRetryAfter));
    return verdict;
}

void RequestExecutor::onLeaseLost()
{
    const auto all = m_work;
    for (const auto &[id, work] : all) {
        if (work->state == Work::State::Running) {
            cancelRunning(work);
        } else if (work->state == Work::State::Queued) {
            m_admission.cancel(id);
            work->isInAdmission = false;
            finish(work, internal::notOwner());
        }
    }
}

bool RequestExecutor::drain(const OwnedItems &items)
{
    bool drained = true;
    const auto all = m_work;
    for (const auto &[id, work] : all) {
        if (!work->admission || !contains(items, *work->admission)) {
            continue;
        }
        if (work->state == Work::State::Queued) {
            m_admission.cancel(id);
            work->isInAdmission = false;
            finish(work, internal::notOwner());
        } else if (work->state != Work::State::Finished) {
            drained = false;
        }
    }
    return drained;
}

void RequestExecutor::updateLimits()
{
    const auto &backend = m_presence.latestAnnouncement();
    if (!backend) {
        return;
    }
    const auto row = m_agent.view().effectiveRow(backend->service, m_parts.settings.failureDomain, backend->instance);
    const BackendLimits limits{ row.slotsFromTable ? row.slots : backend->slots,
                                row.connectionsFromTable ? row.connections : backend->connections };
    // The admission controller logs each call as a change.
    if (!m_limits || m_limits->slots != limits.slots || m_limits->connections != limits.connections) {
        m_limits = limits;
        m_admission.setLimits(limits);
    }
    const auto state = toServingState(row.stateAt(m_parts.loop.clock().wallNow()));
    if (state != m_admission.state()) {
        m_admission.setState(state);
    }
    m_admission.setCold(backend->cold);
    schedulePoll();
}

void RequestExecutor::schedulePoll()
{
    if (std::exchange(m_pollScheduled, true)) {
        return;
    }
    m_parts.loop.runSoon([this, alive = m_alive] {
        if (*alive) {
            m_pollScheduled = false;
            poll();
        }
    });
}

void RequestExecutor::poll()
{
    reconcileConnections();
    const auto result = m_admission.poll();
    for (const auto &it : result.refusals) {
        refuse(it);
    }
    for (const auto &it : result.starts) {
        const auto work = m_work.find(it.id);
        if (work != m_work.end()) {
            dispatch(WorkPtr(work->second));
        } else {
            m_admission.onRequestFinished(it.id, { AnswerKind::Cancelled, {}, true });
        }
    }
    scheduleWakeup();
}

void RequestExecutor::reconcileConnections()
{
    if (!m_presence.latestAnnouncement()) {
        return;
    }
    const auto &target = m_presence.latestAnnouncement()->address;
    m_client.closeIdle(target, m_admission.surplusConnections());
    // Both the HTTP client and the backend server close idle connections. Each running request counts as a connection.
    while (m_admission.openConnections() > std::max<std::size_t>(m_client.connections(target), runningRequests())) {
        m_admission.onIdleConnectionClosed();
    }
}

std::size_t RequestExecutor::runningRequests() const
{
    return static_cast<std::size_t>(
        std::count_if(m_work.begin(), m_work.end(), [](const auto &it) { return it.second->state == Work::State::Running; }));
}

void RequestExecutor::refuse(const Refusal &refusal)
{
    const auto it = m_work.find(refusal.id);
    if (it == m_work.end()) {
        return;
    }
    const WorkPtr work = it->second;
    work->isInAdmission = false;
    finish(work,
           internal::refusal(refusal.verdict, refusal.code == ErrorCode::Overloaded ? 429 : 503, refusal.message, refusal.retryAfter));
}

void RequestExecutor::scheduleWakeup()
{
    const auto next = m_admission.nextWakeup();
    if (next) {
        m_wakeup = m_parts.loop.after(*next - m_parts.loop.clock().now(), [this] { poll(); });
    } else {
        m_wakeup.cancel();
    }
}

IdempotencyTable &RequestExecutor::records()
{
    return m_records;
}

AgentLoad RequestExecutor::load()
{
    AgentLoad load;
    load.inFlight = static_cast<std::uint32_t>(m_work.size());
    if (!m_presence.latestAnnouncement()) {
        return load;
    }
    load.loadPermille = m_admission.inFlight() * 1000 / std::max(1U, m_presence.latestAnnouncement()->slots);
    // A steady rate r settles at a decayed count of r times the mean lifetime, which is the half-life divided by ln 2.
    const double meanLife = std::chrono::duration<double>(kHotKeyHalfLife).count() / std::numbers::ln2;
    for (const auto &it : m_hotKeys.top(kMaxReportedHotKeys)) {
        const double rate = (it.count - it.error) / meanLife;
        if (rate >= kMinHotKeyRate) {
            auto &key = load.hotKeys.emplace_back();
            key.set_service(m_presence.latestAnnouncement()->service);
            key.set_key_hash(it.key.value);
            key.set_rate(rate);
        }
    }
    return load;
}

bool RequestExecutor::isIdle() const
{
    return m_work.empty();
}

const AdmissionController &RequestExecutor::admission() const
{
    return m_admission;
}

} // namespace Toucandeck
