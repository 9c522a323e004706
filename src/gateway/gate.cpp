#include "gateway/gate.h"

#include "gateway/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A call that cannot make its aim waits at most this share of the time that it has left; a longer wait mostly ends in nothing.
constexpr double kLateWaitShare = 0.15;
constexpr double kLateWaitShareReturned = 0.4; ///< Of a caller who was turned away before and has no other chance.
constexpr double kFailureSmoothing = 0.05; ///< Weight of the latest call in the share of failed ones.

milliseconds inMs(Duration it)
{
    return duration_cast<milliseconds>(it);
}

} // namespace

Gate::Gate(const Clock &clock, Logger &logger, const GateKeeper &keeper, BackendPort &port, const QueueOrder &order)
    : m_clock(clock)
    , m_logger(logger)
    , m_keeper(keeper)
    , m_port(port)
    , m_queue(order)
{
}

void Gate::setSubmitted(std::function<void(const Call &)> submitted)
{
    m_submitted = std::move(submitted);
}

std::uint64_t Gate::submit(Call call, CallDone done)
{
    if (m_submitted) {
        m_submitted(call);
    }
    const auto id = m_nextId++;
    const auto now = m_clock.now();
    const auto work = m_work.expected(call);
    WaitingCall waiting{ id, std::move(call), std::move(done), now, work };
    const auto reason = m_keeper.refusal(waiting.call);
    if (reason != wire::NONE) {
        refuse(waiting, reason);
        return id;
    }
    if (isHopeless(waiting)) {
        refuse(waiting, wire::OVERLOADED);
        return id;
    }
    m_queue.push(std::move(waiting));
    update();
    return id;
}

Duration Gate::presentWork(const WaitingCall &call) const
{
    return duration_cast<Duration>(call.work * m_slowness.relative(m_clock.now()));
}

Duration Gate::expectedWait(const WaitingCall &call) const
{
    const auto slots = std::max(1U, m_keeper.slots());
    if (m_running.size() + m_queue.size() < slots) {
        return {};
    }
    const auto ahead = m_queue.workBefore(call, m_clock.now());
    const auto untilFree = m_running.size() < slots ? Duration::zero() : m_work.mean() / slots;
    return duration_cast<Duration>((untilFree + ahead / slots) * m_slowness.relative(m_clock.now()));
}

bool Gate::isHopeless(const WaitingCall &call) const
{
    const auto now = m_clock.now();
    const auto wait = expectedWait(call);
    const auto work = presentWork(call);
    const auto left = call.call.deadline - now;
    if (wait + work > left) {
        return true;
    }
    const bool late = now + wait + work > call.call.aim;
    const auto waitedAndWait = (now - call.since) + wait;
    return late && waitedAndWait > left * (call.call.returned ? kLateWaitShareReturned : kLateWaitShare);
}

void Gate::update()
{
    if (m_updating) {
        return;
    }
    m_updating = true;
    const auto now = m_clock.now();
    auto refused = m_queue.removeIf([this](const WaitingCall &it) { return m_keeper.refusal(it.call) != wire::NONE; });
    m_cold.setRate(m_keeper.isCold() ? m_keeper.coldRequestsPerSecond() : 0);
    while (m_running.size() < m_keeper.slots() && m_queue.size() > 0) {
        if (m_keeper.isCold() && m_cold.nextAt(now) > now) {
            break;
        }
        auto call = m_queue.popFirst(now);
        if (now + call->work / 2 > call->call.deadline) {
            refused.push_back(std::move(*call));
            continue;
        }
        dispatch(std::move(*call));
    }
    auto hopeless = m_queue.removeIf([this](const WaitingCall &it) { return isHopeless(it); });
    m_updating = false;
    for (const auto &it : refused) {
        const auto reason = m_keeper.refusal(it.call);
        refuse(it, reason == wire::NONE ? wire::DEADLINE : reason);
    }
    for (const auto &it : hopeless) {
        refuse(it, wire::OVERLOADED);
    }
}

std::optional<TimePoint> Gate::nextDispatch() const
{
    if (!m_keeper.isCold() || m_queue.size() == 0) {
        return std::nullopt;
    }
    return m_cold.nextAt(m_clock.now());
}

void Gate::dispatch(WaitingCall call)
{
    const auto now = m_clock.now();
    m_cold.count(now);
    const auto id = call.id;
    auto &running = m_running[id];
    running = { std::move(call.call), std::move(call.done), now, now - call.since, m_slowness.relative(now) };
    m_port.run(id, running.call, [this, id](CallResult result) { finish(id, std::move(result)); });
}

void Gate::finish(std::uint64_t id, CallResult result)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    auto running = std::move(found->second);
    m_running.erase(found);
    const auto now = m_clock.now();
    const auto worked = now - running.started;
    m_slowness.report(result.slownessPercent, now);
    if (result.outcome == wire::ANSWERED) {
        const double slowness = (running.slowness + m_slowness.relative(now)) / 2;
        m_work.record(running.call, duration_cast<Duration>(worked / slowness));
    }
    noteOutcome(result);
    update();
    result.load = load();
    m_logger.write(GatewayEvents::kCallRun,
                   { field("request", running.call.requestId),
                     field("service", running.call.service),
                     field("instance", result.instance),
                     field("outcome", wire::CallOutcome_Name(result.outcome)),
                     field("reason", wire::CallReason_Name(result.reason)),
                     field("status", result.response.status),
                     field("waited_ms", inMs(running.waited).count()),
                     field("worked_ms", inMs(worked).count()),
                     field("slowness_percent", static_cast<int>(result.slownessPercent)),
                     field("running", m_running.size()),
                     field("waiting", m_queue.size()) });
    running.done(std::move(result));
}

void Gate::noteOutcome(const CallResult &result)
{
    const bool failed = result.outcome != wire::ANSWERED || result.response.status >= 500;
    m_failedShare = m_failedShare * (1 - kFailureSmoothing) + (failed ? kFailureSmoothing : 0);
}

void Gate::refuse(const WaitingCall &call, wire::CallReason reason)
{
    const auto wait = expectedWait(call);
    m_logger.write(GatewayEvents::kCallRefused,
                   { field("request", call.call.requestId),
                     field("service", call.call.service),
                     field("instance", m_keeper.instance()),
                     field("reason", wire::CallReason_Name(reason)),
                     field("waited_ms", inMs(m_clock.now() - call.since).count()),
                     field("expected_wait_ms", inMs(wait).count()),
                     field("left_ms", inMs(call.call.deadline - m_clock.now()).count()),
                     field("running", m_running.size()),
                     field("waiting", m_queue.size()),
                     field("cold", m_keeper.isCold()) });
    auto result = notRun(reason, wait);
    result.instance = m_keeper.instance();
    result.load = load();
    call.done(std::move(result));
}

void Gate::cancel(std::uint64_t id)
{
    if (const auto waiting = m_queue.remove(id)) {
        m_logger.write(GatewayEvents::kCallCancelled, { field("request", waiting->call.requestId), field("was", "waiting") });
        return;
    }
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    m_logger.write(GatewayEvents::kCallCancelled, { field("request", found->second.call.requestId), field("was", "running") });
    m_running.erase(found);
    m_port.cancel(id);
    update();
}

bool Gate::runs(std::string_view requestId) const
{
    return std::any_of(m_running.begin(), m_running.end(), [requestId](const auto &it) { return it.second.call.requestId == requestId; });
}

wire::LoadReport Gate::load() const
{
    wire::LoadReport load;
    load.set_running(static_cast<std::uint32_t>(m_running.size()));
    load.set_waiting(static_cast<std::uint32_t>(m_queue.size()));
    load.set_slots(m_keeper.slots());
    load.set_work_us(static_cast<std::uint32_t>(duration_cast<std::chrono::microseconds>(m_work.mean()).count()));
    load.set_failed_permille(static_cast<std::uint32_t>(m_failedShare * 1000));
    load.set_cold(m_keeper.isCold());
    load.set_slowness_permille(static_cast<std::uint32_t>(m_slowness.relative(m_clock.now()) * 1000));
    return load;
}

std::size_t Gate::running() const
{
    return m_running.size();
}

std::size_t Gate::waiting() const
{
    return m_queue.size();
}

Duration Gate::meanWork() const
{
    return m_work.mean();
}

} // namespace Toucandeck
