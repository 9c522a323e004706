#include "daemon/request_call.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr Duration kRetryAfter = std::chrono::seconds(1);

} // namespace

void RequestRouter::scheduleHedge(const CallPtr &call)
{
    if (const auto delay = m_hedgePolicy->hedgeDelay(call->request.method())) {
        call->hedgeTimer = m_parts.loop.after(*delay, [this, call] { startHedge(call); });
    }
}

void RequestRouter::startHedge(const CallPtr &call)
{
    if (call->hedgedAttempts.runningCount() != 1) {
        return;
    }
    const auto target = chooseTarget(*call, true);
    if (target && m_hedgePolicy->tryStartHedge()) {
        m_hedgeCount.Increment();
        send(call, *target);
    }
}

void RequestRouter::receive(const wire::ForwardReply &reply)
{
    finishAttempt(reply.request(), reply, true);
}

void RequestRouter::finishAttempt(std::uint64_t id, const wire::ForwardReply &reply, bool replied)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        m_lateReplyCount.Increment();
        return;
    }
    const auto attempt = std::move(it->second);
    m_attempts.erase(it);
    const auto &call = attempt.call;
    const auto verdict = internal::fromWire(reply.verdict());
    const auto latency = m_parts.loop.clock().now() - attempt.sendTime;
    const auto report = replied ? std::optional(LoadReport{ reply.in_flight(), reply.queued(), {} }) : std::nullopt;
    m_instanceStats.onAttemptFinished(
        call->request.service(), attempt.target, latency, verdict == Verdict::Ran || reply.not_owner(), report);
    // A malformed request is refused with 4xx and not-run; a retry would fail again.
    const bool isFinal = verdict == Verdict::Ran || (verdict == Verdict::NotRun && reply.status() >= 400 && reply.status() < 429);
    if (isFinal) {
        m_hedgePolicy->record(latency);
        const auto others = call->hedgedAttempts.onAnswered(id);
        if (others) {
            for (const auto other : *others) {
                cancelAttempt(other);
            }
            answer(call, reply);
        }
        return;
    }
    call->mayHaveRun = call->mayHaveRun || verdict == Verdict::MayHaveRun;
    if (call->hedgedAttempts.onFailed(id)) {
        retryOrAnswer(call, reply);
    }
}

void RequestRouter::retryOrAnswer(const CallPtr &call, const wire::ForwardReply &reply)
{
    call->retryAfter = std::chrono::milliseconds(reply.retry_after_ms());
    if (reply.not_owner()) {
        waitForOwner(call);
        return;
    }
    FailedAttempt failed;
    failed.verdict = internal::fromWire(reply.verdict());
    failed.method = call->request.method();
    failed.attemptIndex = call->attemptCount - 1;
    failed.deadline = call->deadline;
    failed.retryAfter = call->retryAfter;
    if (const auto delay = m_retryPolicy->retryDelay(failed)) {
        m_retryCount.Increment();
        call->retryTimer = m_parts.loop.after(*delay, [this, call] { tryAttempt(call); });
        return;
    }
    answer(call, reply);
}

void RequestRouter::cancelAttempt(std::uint64_t id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        return;
    }
    const auto attempt = std::move(it->second);
    m_attempts.erase(it);
    const auto latency = m_parts.loop.clock().now() - attempt.sendTime;
    m_instanceStats.onAttemptFinished(attempt.call->request.service(), attempt.target, latency, true, std::nullopt);
    m_hedgePolicy->record(latency);
    if (attempt.address.empty()) {
        const auto verdict = m_executor.cancel({ "", id });
        attempt.call->mayHaveRun = attempt.call->mayHaveRun || verdict != Verdict::NotRun;
        return;
    }
    attempt.call->mayHaveRun = true;
    wire::Envelope envelope;
    envelope.mutable_cancel()->set_request(id);
    m_parts.messages.send(attempt.address, std::move(envelope));
}

void RequestRouter::cancelAll(const CallPtr &call)
{
    for (const auto id : call->attemptIds) {
        cancelAttempt(id);
    }
}

void RequestRouter::onDeadlinePassed(const CallPtr &call)
{
    if (!m_calls.contains(call)) {
        return;
    }
    cancelAll(call);
    if (call->mayHaveRun) {
        answer(call, internal::refusal(Verdict::MayHaveRun, 504, "no answer before the deadline"));
    } else {
        answer(call,
               internal::refusal(
                   Verdict::NotRun, 503, "no owner or free instance before the deadline", std::max(kRetryAfter, call->retryAfter)));
    }
}

void RequestRouter::answerPending()
{
    const auto copy = m_calls;
    for (const auto &it : copy) {
        onDeadlinePassed(it);
    }
}

void RequestRouter::answer(const CallPtr &call, const wire::ForwardReply &reply)
{
    if (!m_calls.contains(call)) {
        return;
    }
    const auto verdict = internal::fromWire(reply.verdict());
    if (verdict == Verdict::NotRun && call->mayHaveRun) {
        answer(call, internal::refusal(Verdict::MayHaveRun, 502, "the outcome of an earlier attempt is unknown"));
        return;
    }
    m_answerCounters.at(verdict)->Increment();
    m_requestSeconds.Observe(std::chrono::duration<double>(m_parts.loop.clock().now() - call->receiveTime).count());
    call->span.tag("verdict", std::string(toString(verdict)));
    call->span.tag("status", std::to_string(reply.status()));
    if (verdict != Verdict::Ran) {
        call->span.tag("error", reply.body());
    }
    removeCall(call);
    call->exchange->respond(internal::toResponse(reply));
}

void RequestRouter::removeCall(const CallPtr &call)
{
    call->deadlineTimer.cancel();
    call->retryTimer.cancel();
    call->hedgeTimer.cancel();
    call->isWaitingForTarget = false;
    call->span.finish();
    m_calls.erase(call);
}

} // namespace Toucandeck
