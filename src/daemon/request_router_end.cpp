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
    if (const auto delay = m_hedges->hedgeDelay(call->request.method())) {
        call->hedgeTimer = m_parts.loop.after(*delay, [this, call] { hedge(call); });
    }
}

void RequestRouter::hedge(const CallPtr &call)
{
    if (call->race.runningCount() != 1) {
        return;
    }
    const auto target = chooseTarget(*call, true);
    if (target && m_hedges->tryStartHedge()) {
        m_hedgeCount.Increment();
        send(call, *target);
    }
}

void RequestRouter::receive(const wire::ForwardReply &reply)
{
    attemptEnded(reply.request(), reply, true);
}

void RequestRouter::attemptEnded(std::uint64_t id, const wire::ForwardReply &reply, bool replied)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        m_lateAnswers.Increment();
        return;
    }
    const auto attempt = std::move(it->second);
    m_attempts.erase(it);
    const auto &call = attempt.call;
    const auto verdict = internal::fromWire(reply.verdict());
    const auto latency = m_parts.loop.clock().now() - attempt.sent;
    const auto report = replied ? std::optional(LoadReport{ reply.in_flight(), reply.queued(), {} }) : std::nullopt;
    m_stats.ended(call->request.service(), attempt.target, latency, verdict == Verdict::Ran || reply.not_owner(), report);
    // A malformed request is refused with 4xx and not-run; repeating it would not help.
    const bool final = verdict == Verdict::Ran || (verdict == Verdict::NotRun && reply.status() >= 400 && reply.status() < 429);
    if (final) {
        m_hedges->record(latency);
        const auto losers = call->race.onAnswered(id);
        if (losers) {
            for (const auto loser : *losers) {
                cancelAttempt(loser);
            }
            answer(call, reply);
        }
        return;
    }
    call->mayHaveRun = call->mayHaveRun || verdict == Verdict::MayHaveRun;
    if (call->race.onFailed(id)) {
        attemptFailed(call, reply);
    }
}

void RequestRouter::attemptFailed(const CallPtr &call, const wire::ForwardReply &reply)
{
    call->retryAfter = std::chrono::milliseconds(reply.retry_after_ms());
    if (reply.not_owner()) {
        waitForOwner(call);
        return;
    }
    FailedAttempt failed;
    failed.verdict = internal::fromWire(reply.verdict());
    failed.method = call->request.method();
    failed.attemptIndex = call->attempts - 1;
    failed.deadline = call->deadline;
    failed.retryAfter = call->retryAfter;
    if (const auto delay = m_retries->retryDelay(failed)) {
        m_retryCount.Increment();
        call->retryTimer = m_parts.loop.after(*delay, [this, call] { tryAttempt(call); });
        return;
    }
    auto last = reply;
    if (call->mayHaveRun && internal::fromWire(reply.verdict()) == Verdict::NotRun) {
        last = internal::refusal(Verdict::MayHaveRun, 502, "a former attempt has no known outcome");
    }
    answer(call, last);
}

void RequestRouter::cancelAttempt(std::uint64_t id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        return;
    }
    const auto attempt = std::move(it->second);
    m_attempts.erase(it);
    const auto latency = m_parts.loop.clock().now() - attempt.sent;
    m_stats.ended(attempt.call->request.service(), attempt.target, latency, true, std::nullopt);
    m_hedges->record(latency);
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

void RequestRouter::deadlinePassed(const CallPtr &call)
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

void RequestRouter::answer(const CallPtr &call, const wire::ForwardReply &reply)
{
    if (!m_calls.contains(call)) {
        return;
    }
    const auto verdict = internal::fromWire(reply.verdict());
    m_answers.at(verdict)->Increment();
    m_seconds.Observe(std::chrono::duration<double>(m_parts.loop.clock().now() - call->received).count());
    call->span.tag("verdict", std::string(toString(verdict)));
    call->span.tag("status", std::to_string(reply.status()));
    if (verdict != Verdict::Ran) {
        call->span.tag("error", reply.body());
    }
    drop(call);
    call->exchange->respond(internal::toResponse(reply));
}

void RequestRouter::drop(const CallPtr &call)
{
    call->deadlineTimer.cancel();
    call->retryTimer.cancel();
    call->hedgeTimer.cancel();
    call->waiting = false;
    call->span.finish();
    m_calls.erase(call);
}

} // namespace Toucandeck
