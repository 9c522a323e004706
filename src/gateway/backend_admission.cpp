#include "gateway/backend_admission.h"

#include "gateway/events.h"

#include <algorithm>
#include <unordered_set>

namespace Toucandeck
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kSpeedTimeConstant{ 4 }; ///< A change of the speed shows within seconds.
/// Keys are not served while they move, so their planner must not follow the variation of the shorter mean.
constexpr std::chrono::seconds kLongTermSpeedTimeConstant{ 20 };
constexpr int kFirstErrorStatus = 500; ///< Lowest status of a response that says that the backend server failed.
/// Smallest share of the slots that is taken to be left for calls that clients repeat; they may wait for a third of their time only.
constexpr double kMinShareOfReturning = 0.25;
constexpr double kLongestRetryShare = 1.0 / 3; ///< Clients wait at most this share of their time left before they retry.
/// Checking all waiting calls costs a sort of the queue, so it is not done with each call.
constexpr milliseconds kReviewInterval{ 20 };
constexpr std::uint32_t kLateRanks = 1; ///< A late call goes after the calls in time of its own rank and of this many less urgent ones.
/// The slowness of a machine changes several times a second.
constexpr milliseconds kSlownessPeriod{ 250 };
constexpr double kFailureSmoothing = 0.05; ///< Weight of the latest call in the moving average of failures.

std::unique_ptr<AdmissionRule> ruleOf(AdmissionPolicy policy)
{
    if (policy == AdmissionPolicy::ServeLate) {
        return std::make_unique<ServeLateRule>();
    }
    return std::make_unique<RefuseLateRule>();
}

/// Time in which a machine of this relative slowness does work that takes @p delay at its usual speed.
Duration delayAtPresentSpeed(Duration delay, double slowness)
{
    const auto workInPeriod = duration_cast<Duration>(kSlownessPeriod / slowness);
    return delay <= workInPeriod ? duration_cast<Duration>(delay * slowness) : kSlownessPeriod + delay - workInPeriod;
}

} // namespace

BackendAdmission::BackendAdmission(const Clock &clock,
                                   Logger &logger,
                                   const BackendStatus &backendStatus,
                                   BackendPort &port,
                                   const QueueOrder &order,
                                   AdmissionPolicy policy)
    : m_clock(clock)
    , m_logger(logger)
    , m_backendStatus(backendStatus)
    , m_port(port)
    , m_policy(policy)
    , m_rule(ruleOf(policy))
    , m_queue(order)
    , m_speed(kSpeedTimeConstant)
    , m_longTermSpeed(kLongTermSpeedTimeConstant)
{
}

void BackendAdmission::setSubmitHandler(std::function<void(const Call &)> handler)
{
    m_submitHandler = std::move(handler);
}

void BackendAdmission::setReferenceWork(const ReferenceWork *referenceWork)
{
    m_referenceWork = referenceWork;
}

void BackendAdmission::onIncarnationStarted()
{
    ++m_incarnation;
    m_speed.reset();
    m_longTermSpeed.reset();
    m_serviceTimes.onIncarnationStarted();
}

std::optional<Duration> BackendAdmission::referenceServiceTime(const Call &call) const
{
    const auto usual = m_referenceWork != nullptr ? m_referenceWork->usual(call) : std::nullopt;
    if (!usual) {
        return std::nullopt;
    }
    const double speed = m_speed.relative(m_clock.now());
    return speed == 0 ? *usual : duration_cast<Duration>(*usual / speed);
}

void BackendAdmission::setStartGate(StartGate gate)
{
    m_startGate = std::move(gate);
}

std::uint64_t BackendAdmission::submit(Call call, CallDone done)
{
    if (m_submitHandler) {
        m_submitHandler(call);
    }
    const auto id = m_nextId++;
    const auto now = m_clock.now();
    const auto serviceTime = m_serviceTimes.expected(call, referenceServiceTime(call));
    WaitingCall waiting{ id, std::move(call), std::move(done), now, serviceTime };
    waiting.fairTag = m_queue.fairTag(waiting.call);
    const auto reason = m_backendStatus.refusal(waiting.call);
    if (reason != wire::NONE) {
        refuse(waiting, reason);
        return id;
    }
    if (isInfeasible(waiting)) {
        refuse(waiting, wire::OVERLOADED);
        return id;
    }
    if (waiting.call.maxWait > Duration::zero() && expectedQueueingDelay(waiting) > waiting.call.maxWait) {
        refuse(waiting, wire::BUSY);
        return id;
    }
    if (const auto delay = m_startGate ? m_startGate(waiting.call, waiting.done) : std::nullopt) {
        refuse(waiting, wire::NESTED_CALLS_REFUSED, *delay);
        return id;
    }
    recordOffered(waiting);
    m_queue.push(std::move(waiting));
    processQueue();
    return id;
}

Duration BackendAdmission::currentServiceTime(const WaitingCall &call) const
{
    return duration_cast<Duration>(call.serviceTime * m_slowness.relative(m_clock.now()));
}

void BackendAdmission::recordOffered(const WaitingCall &call)
{
    const auto now = m_clock.now();
    if (call.call.nested) {
        m_offeredWork.recordNested(call.serviceTime, now);
    } else if (now + currentServiceTime(call) <= call.call.targetTime) {
        m_offeredWork.recordClient(call.call.rank, call.serviceTime, now);
    }
}

bool BackendAdmission::hasFreeSlot() const
{
    return m_running.size() + m_queue.size() < std::max(1U, m_backendStatus.slots());
}

BackendAdmission::WorkBefore BackendAdmission::workBefore(const WaitingCall &call) const
{
    const auto now = m_clock.now();
    WorkBefore before{ m_queue.serviceTimeBefore(call, now), {} };
    if (!call.call.nested) {
        before.clients = m_queue.clientServiceTimeBefore(call, now);
    }
    return before;
}

CallProspect BackendAdmission::prospect(const WaitingCall &call, const WorkBefore &before) const
{
    const auto now = m_clock.now();
    CallProspect it{ call.call, now, now - call.enqueuedAt, {}, {}, currentServiceTime(call) };
    if (hasFreeSlot()) {
        return it;
    }
    const double slowness = m_slowness.relative(now);
    if (m_policy == AdmissionPolicy::RefuseLate || call.call.nested) {
        it.wait = duration_cast<Duration>(delayByCallsBefore(call, before) * slowness);
        it.waitIfLate = it.wait;
        return it;
    }
    it.wait = delayAtPresentSpeed(delayWithOvertakers(call.call.rank, before), slowness);
    it.waitIfLate = delayAtPresentSpeed(delayWithOvertakers(call.call.rank + kLateRanks + 1, before), slowness);
    return it;
}

Duration BackendAdmission::expectedQueueingDelay(const WaitingCall &call) const
{
    return prospect(call, workBefore(call)).expectedWait();
}

Duration BackendAdmission::delayByCallsBefore(const WaitingCall &call, const WorkBefore &before) const
{
    const auto slots = std::max(1U, m_backendStatus.slots());
    const auto shares = slotShares();
    const auto untilSlotIsFree = m_running.size() < slots ? Duration::zero() : m_serviceTimes.mean() / slots;
    if (call.call.nested) {
        const auto clientsBefore = m_serviceTimes.mean() * static_cast<std::int64_t>(shares.clientsBeforeNested());
        return untilSlotIsFree + before.all / static_cast<std::int64_t>(shares.leftForNested()) + clientsBefore / slots;
    }
    const auto byGuarantee = before.clients / static_cast<std::int64_t>(shares.guaranteedToClients());
    return untilSlotIsFree + std::min<Duration>(before.all / slots, byGuarantee);
}

Duration BackendAdmission::delayWithOvertakers(std::uint32_t rank, const WorkBefore &before) const
{
    const auto now = m_clock.now();
    const double slots = std::max(1U, m_backendStatus.slots());
    const double least = slots * m_lateShare.at(now);
    const double overtakers = m_offeredWork.clientSlotsBefore(rank, now);
    const double guaranteed = std::max(least, static_cast<double>(slotShares().guaranteedToClients()) - overtakers);
    const double shared = std::max(least, slots - overtakers - m_offeredWork.nestedSlots(now));
    const auto untilSlotIsFree = static_cast<double>(m_running.size()) < slots ? Duration::zero() : m_serviceTimes.mean();
    return std::min(duration_cast<Duration>((untilSlotIsFree + before.all) / shared),
                    duration_cast<Duration>((untilSlotIsFree + before.clients) / guaranteed));
}

Duration BackendAdmission::usualWait() const
{
    if (hasFreeSlot()) {
        return {};
    }
    const auto now = m_clock.now();
    WaitingCall probe;
    probe.id = m_nextId;
    probe.call.rank = m_offeredWork.middleRank(now);
    probe.call.targetTime = TimePoint::max();
    probe.call.deadline = TimePoint::max();
    probe.enqueuedAt = now;
    probe.fairTag = m_queue.fairTag(probe.call);
    return prospect(probe, workBefore(probe)).wait;
}

Duration BackendAdmission::retryDelay(const Call &call)
{
    const auto now = m_clock.now();
    const double slots = std::max(1U, m_backendStatus.slots());
    const double free = slots - m_offeredWork.nestedSlots(now) - m_offeredWork.clientSlotsBefore(call.rank + 1, now);
    const auto work = m_serviceTimes.mean() + m_queue.serviceTime() + m_returningWork.pending(now);
    const auto delay = duration_cast<Duration>(work * m_slowness.relative(now) / std::max(slots * kMinShareOfReturning, free));
    const auto returnsAfter = std::min(delay, duration_cast<Duration>((call.deadline - now) * kLongestRetryShare));
    const auto serviceTime = m_serviceTimes.expected(call);
    if (!call.nested && now + returnsAfter + serviceTime <= call.deadline) {
        m_returningWork.record(now + returnsAfter, serviceTime, now);
    }
    return delay;
}

SlotShares BackendAdmission::slotShares() const
{
    const CallCounts clients{ runningCount() - runningCount(CallOrigin::Nested), waitingCount() - waitingCount(CallOrigin::Nested) };
    return { m_backendStatus.slots(), clients };
}

std::optional<WaitingCall> BackendAdmission::takeNext()
{
    const auto now = m_clock.now();
    return slotShares().clientIsNext() ? m_queue.popFirstOfClients(now) : m_queue.popFirst(now);
}

bool BackendAdmission::isInfeasible(const WaitingCall &call) const
{
    return m_rule->refuses(prospect(call, workBefore(call)));
}

std::vector<WaitingCall> BackendAdmission::removeInfeasible()
{
    if (m_policy == AdmissionPolicy::RefuseLate) {
        return m_queue.removeIf([this](const WaitingCall &it) { return isInfeasible(it); });
    }
    const auto now = m_clock.now();
    if (m_queue.size() == 0 || now - m_lastReview < kReviewInterval) {
        return {};
    }
    m_lastReview = now;
    WorkBefore before;
    std::unordered_set<std::uint64_t> infeasible;
    for (const auto *it : m_queue.inOrder(now)) {
        if (m_rule->refuses(prospect(*it, before))) {
            infeasible.insert(it->id);
            continue;
        }
        before.all += it->serviceTime;
        before.clients += it->call.nested ? Duration::zero() : it->serviceTime;
    }
    return m_queue.removeIf([&infeasible](const WaitingCall &it) { return infeasible.contains(it.id); });
}

void BackendAdmission::processQueue()
{
    if (m_processing) {
        return;
    }
    m_processing = true;
    const auto now = m_clock.now();
    auto refused = m_queue.removeIf([this](const WaitingCall &it) { return m_backendStatus.refusal(it.call) != wire::NONE; });
    m_coldLimiter.setRate(m_backendStatus.isCold() ? m_backendStatus.coldRequestsPerSecond() : 0);
    while (m_running.size() < m_backendStatus.slots() && m_queue.size() > 0) {
        if (m_backendStatus.isCold() && m_coldLimiter.nextSendTime(now) > now) {
            break;
        }
        auto call = takeNext();
        if (now + call->serviceTime / 2 > call->call.deadline) {
            refused.push_back(std::move(*call));
            continue;
        }
        dispatch(std::move(*call));
    }
    if (hasFreeSlot()) {
        m_lateShare.recordFreeSlot(now);
    }
    auto infeasible = removeInfeasible();
    m_processing = false;
    for (const auto &it : refused) {
        const auto reason = m_backendStatus.refusal(it.call);
        refuse(it, reason == wire::NONE ? wire::DEADLINE : reason);
    }
    for (const auto &it : infeasible) {
        refuse(it, wire::OVERLOADED);
    }
}

std::optional<TimePoint> BackendAdmission::nextDispatchTime() const
{
    if (!m_backendStatus.isCold() || m_queue.size() == 0) {
        return std::nullopt;
    }
    return m_coldLimiter.nextSendTime(m_clock.now());
}

void BackendAdmission::dispatch(WaitingCall call)
{
    const auto now = m_clock.now();
    m_coldLimiter.record(now);
    const bool late = now + currentServiceTime(call) > call.call.targetTime;
    m_tally.recordStart(call.call, late);
    if (late && !call.call.nested) {
        m_lateShare.recordStart(call.serviceTime, std::max(1U, m_backendStatus.slots()), now);
    }
    const auto id = call.id;
    auto &running = m_running[id];
    running = { std::move(call.call), std::move(call.done), now, now - call.enqueuedAt, 0, m_slowness.relative(now), m_incarnation };
    m_port.run(id, running.call, [this, id](CallResult result) { finish(id, std::move(result)); });
}

void BackendAdmission::finish(std::uint64_t id, CallResult result)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    auto running = std::move(found->second);
    m_running.erase(found);
    const auto now = m_clock.now();
    const auto serviceTime = now - running.startedAt;
    m_tally.recordEnd(running.call, serviceTime);
    m_slowness.report(result.slownessPercent, now);
    result.work = recordWork(running, result);
    recordOutcome(result);
    processQueue();
    result.load = loadReport();
    m_logger.write(GatewayEvents::kCallRun,
                   { field("request", running.call.requestId),
                     field("service", running.call.service),
                     field("instance", result.instance),
                     field("origin", toString(originOf(running.call))),
                     field("outcome", wire::CallOutcome_Name(result.outcome)),
                     field("reason", wire::CallReason_Name(result.reason)),
                     field("status", result.response.status),
                     field("waited_ms", wholeMs(running.queueingDelay)),
                     field("worked_ms", wholeMs(serviceTime)),
                     field("own_work_ms", wholeMs(result.work)),
                     field("speed_permille", speedPermille()),
                     field("slowness_percent", static_cast<int>(result.slownessPercent)),
                     field("running", m_running.size()),
                     field("waiting", m_queue.size()) });
    running.done(std::move(result));
}

Duration BackendAdmission::recordWork(const RunningCall &running, const CallResult &result)
{
    if (result.outcome != wire::ANSWERED || running.incarnation != m_incarnation) {
        return {};
    }
    const auto now = m_clock.now();
    const double slowness = (running.slowness + m_slowness.relative(now)) / 2;
    const auto serviceTime = now - running.startedAt;
    m_serviceTimes.record(running.call, duration_cast<Duration>(serviceTime / slowness));
    if (result.response.status >= kFirstErrorStatus) {
        return {}; // A failed request ends before its usual work is done.
    }
    const auto work = duration_cast<Duration>((serviceTime - timeWithNestedCall(running, now)) / slowness);
    const auto usual = m_referenceWork != nullptr ? m_referenceWork->usual(running.call) : std::nullopt;
    if (usual && work > Duration::zero()) {
        m_speed.record(work, *usual, now);
        m_longTermSpeed.record(work, *usual, now);
    }
    return work;
}

Duration BackendAdmission::timeWithNestedCall(const RunningCall &call, TimePoint now)
{
    return call.nestedTime + (call.pendingNestedCalls > 0 ? now - call.nestedSince : Duration::zero());
}

void BackendAdmission::recordOutcome(const CallResult &result)
{
    const bool failed = result.outcome != wire::ANSWERED || result.response.status >= kFirstErrorStatus;
    m_failedShare = m_failedShare * (1 - kFailureSmoothing) + (failed ? kFailureSmoothing : 0);
}

void BackendAdmission::refuse(const WaitingCall &call, wire::CallReason reason, Duration retryAfter)
{
    const auto wait = expectedQueueingDelay(call);
    m_tally.recordRefusal(call.call, reason);
    m_logger.write(GatewayEvents::kCallRefused,
                   { field("request", call.call.requestId),
                     field("service", call.call.service),
                     field("instance", m_backendStatus.instance()),
                     field("origin", toString(originOf(call.call))),
                     field("reason", wire::CallReason_Name(reason)),
                     field("waited_ms", wholeMs(m_clock.now() - call.enqueuedAt)),
                     field("expected_wait_ms", wholeMs(wait)),
                     field("left_ms", wholeMs(call.call.deadline - m_clock.now())),
                     field("running", m_running.size()),
                     field("waiting", m_queue.size()),
                     field("cold", m_backendStatus.isCold()) });
    const bool lacksSlots = reason == wire::OVERLOADED || reason == wire::DEADLINE;
    const bool forecasts = m_policy == AdmissionPolicy::ServeLate && lacksSlots;
    auto result = notRun(reason, std::max(forecasts ? retryDelay(call.call) : wait, retryAfter));
    result.instance = m_backendStatus.instance();
    result.load = loadReport();
    call.done(std::move(result));
}

void BackendAdmission::cancel(std::uint64_t id)
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
    m_tally.recordEnd(found->second.call, m_clock.now() - found->second.startedAt);
    m_running.erase(found);
    m_port.cancel(id);
    processQueue();
}

} // namespace Toucandeck
