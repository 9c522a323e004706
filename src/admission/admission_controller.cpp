#include "admission/admission_controller.h"

#include "admission/events.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

// Latency quantile that must fit before the deadline of a request that starts. With the median, half of the latest starts would
// miss their deadline and then hold their slots for the cancellation grace period.
constexpr double kServiceTimeQuantile = 0.9;
constexpr auto kLatencyWindow = std::chrono::seconds(2); // straggler phases last seconds; older latencies would hide them

} // namespace

AdmissionController::AdmissionController(AdmissionOptions options,
                                         std::unique_ptr<ConcurrencyLimit> limit,
                                         std::unique_ptr<StartRamp> ramp,
                                         const Clock &clock,
                                         RandomSource &random,
                                         Logger &logger)
    : m_options(options)
    , m_limit(std::move(limit))
    , m_ramp(std::move(ramp))
    , m_clock(clock)
    , m_random(random)
    , m_logger(logger)
    , m_connections(options.minConnectionInterval)
    , m_queue(options.queuePerClass)
    , m_latency(clock, kLatencyWindow)
{
    m_limit->setMaximum(options.limits.slots);
    m_ramp->setMaximum(options.limits.slots);
    m_connections.setMaximum(options.limits.connections);
}

AdmissionController::~AdmissionController() = default;

Decision AdmissionController::submit(const AdmissionRequest &request)
{
    TOUCANDECK_ASSERT(request.depth <= kMaxDepth, "the depth was checked when the request was parsed");
    TOUCANDECK_ASSERT(!m_runningRequests.contains(request.id) && !m_queue.contains(request.id), "an id is submitted once");
    releaseExpiredHolds();
    if (auto refusal = refuseOnArrival(request)) {
        return *refusal;
    }
    const auto depth = request.statusCheck ? kMaxDepth : request.depth;
    if (!hasFreeSlot(depth)) {
        return request.statusCheck ? Decision(refuse(request.id, ErrorCode::Overloaded, "no slot is free for a status check"))
                                   : enqueue(request);
    }
    // A new request must not overtake a queued one that could start now.
    if (!canStartQueued()) {
        if (const auto opened = m_connections.acquire(m_clock.now())) {
            m_queue.recordDirectStart(request.nested);
            return start(request, *opened);
        }
    }
    return enqueue(request);
}

std::optional<Refusal> AdmissionController::refuseOnArrival(const AdmissionRequest &request)
{
    if (!acceptsRequests()) {
        return refuse(request.id, ErrorCode::Unavailable, "the instance is leaving or out of service");
    }
    if (request.deadline <= m_clock.now()) {
        return refuse(request.id, ErrorCode::DeadlineExceeded, "the deadline has passed");
    }
    return std::nullopt;
}

Decision AdmissionController::enqueue(const AdmissionRequest &request)
{
    if (m_options.refuseInfeasible && m_clock.now() + expectedQueueingDelay(request.nested) + medianLatency() > request.deadline) {
        return refuse(request.id, ErrorCode::DeadlineExceeded, "the queue is too long to meet the deadline");
    }
    if (!m_queue.push(request, m_clock.now())) {
        return refuse(request.id, ErrorCode::Overloaded, "the queue is full");
    }
    return Queued{};
}

Duration AdmissionController::expectedQueueingDelay(bool nested) const
{
    // The classes are served in turn, so at most as many requests of the other class start before the new one.
    const auto ahead = m_queue.size(nested) + std::min(m_queue.size(nested), m_queue.size(!nested));
    return medianLatency() * static_cast<std::int64_t>(ahead) / std::max(currentLimit(), 1U);
}

Start AdmissionController::start(const AdmissionRequest &request, bool openConnection)
{
    TOUCANDECK_ASSERT(m_inFlight < m_options.limits.slots, "a request starts only with a free slot");
    const auto depth = request.statusCheck ? kMaxDepth : request.depth;
    const bool isNew = m_runningRequests.emplace(request.id, Running{ depth, m_clock.now() }).second;
    TOUCANDECK_ASSERT(isNew, "a request starts once");
    ++m_slotsByDepth[depth];
    ++m_inFlight;
    return { request.id, openConnection };
}

Refusal AdmissionController::refuse(std::uint64_t id, ErrorCode code, std::string message)
{
    const auto factor = 0.5 + m_random.unit();
    const auto retryAfter = std::chrono::duration_cast<Duration>(m_options.retryAfter * factor);
    return { id, code, std::move(message), retryAfter, Verdict::NotRun };
}

void AdmissionController::onRequestFinished(std::uint64_t id, const Outcome &outcome)
{
    const auto it = m_runningRequests.find(id);
    TOUCANDECK_ASSERT(it != m_runningRequests.end(), "a request finishes once, after its start");
    const auto running = it->second;
    m_runningRequests.erase(it);
    m_limit->record({ outcome.kind, outcome.latency, m_inFlight });
    if (m_ramp->record(running.startTime, outcome)) {
        m_logger.write(Events::kColdStartDetected, { field("shed", outcome.kind == AnswerKind::Shed) });
    }
    if (outcome.kind == AnswerKind::Ok) {
        m_latency.record(outcome.latency);
    }
    m_connections.release(outcome.connectionKept);
    const bool mayStillRun = !outcome.connectionKept && (outcome.kind == AnswerKind::Cancelled || outcome.kind == AnswerKind::Failed);
    if (mayStillRun && m_options.cancellationGracePeriod > Duration::zero()) {
        m_heldSlots.push_back({ running.depth, m_clock.now() + m_options.cancellationGracePeriod });
    } else {
        releaseSlot(running.depth);
    }
}

void AdmissionController::releaseSlot(unsigned depth)
{
    TOUCANDECK_ASSERT(m_slotsByDepth[depth] > 0 && m_inFlight > 0, "a slot is released once");
    --m_slotsByDepth[depth];
    --m_inFlight;
    TOUCANDECK_ASSERT(m_inFlight == m_runningRequests.size() + m_heldSlots.size(), "each slot in use belongs to a request");
}

void AdmissionController::releaseExpiredHolds()
{
    while (!m_heldSlots.empty() && m_heldSlots.front().releaseTime <= m_clock.now()) {
        const auto depth = m_heldSlots.front().depth;
        m_heldSlots.pop_front();
        releaseSlot(depth);
    }
}

bool AdmissionController::cancel(std::uint64_t id)
{
    TOUCANDECK_ASSERT(m_runningRequests.contains(id) || m_queue.contains(id), "only a queued or running request is cancelled");
    return m_queue.remove(id);
}

PollResult AdmissionController::poll()
{
    releaseExpiredHolds();
    PollResult result;
    const auto now = m_clock.now();
    const auto mustRefuse = [this, now](const QueuedRequest &it) {
        return !acceptsRequests() || now >= latestStartTime(it) || (it.request.statusCheck && !hasFreeSlot(kMaxDepth));
    };
    for (const auto &it : m_queue.removeIf(mustRefuse)) {
        result.refusals.push_back(refuseQueued(it.request));
    }
    while (canStartQueued()) {
        const auto opened = m_connections.acquire(now);
        if (!opened) {
            break;
        }
        const auto request = m_queue.pop([this](unsigned depth) { return hasFreeSlot(depth); });
        TOUCANDECK_ASSERT(request.has_value(), "a queued request can start");
        result.starts.push_back(start(*request, *opened));
    }
    return result;
}

Refusal AdmissionController::refuseQueued(const AdmissionRequest &request)
{
    if (!acceptsRequests()) {
        return refuse(request.id, ErrorCode::Unavailable, "the instance is leaving or out of service");
    }
    if (request.deadline <= m_clock.now() + m_latency.quantile(kServiceTimeQuantile)) {
        return refuse(request.id, ErrorCode::DeadlineExceeded, "the deadline can no longer be met");
    }
    return refuse(request.id, ErrorCode::Overloaded, "no slot became free in time for a nested call");
}

TimePoint AdmissionController::latestStartTime(const QueuedRequest &queued) const
{
    if (!m_options.refuseInfeasible) {
        return TimePoint::max();
    }
    const auto byDeadline = queued.request.deadline - m_latency.quantile(kServiceTimeQuantile);
    if (!queued.request.nested || currentLimit() > kMaxDepth) {
        return byDeadline;
    }
    return std::min(byDeadline, queued.enqueueTime + m_options.maxNestedWaitWhenCold);
}

std::optional<TimePoint> AdmissionController::nextWakeup() const
{
    std::optional<TimePoint> next;
    const auto addCandidate = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    if (!m_heldSlots.empty()) {
        addCandidate(m_heldSlots.front().releaseTime);
    }
    m_queue.forEach([this, &addCandidate](const QueuedRequest &it) { addCandidate(latestStartTime(it)); });
    if (canStartQueued()) {
        if (m_connections.idleCount() > m_connections.surplusCount()) {
            addCandidate(m_clock.now());
        } else if (const auto opening = m_connections.nextOpenTime()) {
            addCandidate(std::max(*opening, m_clock.now()));
        }
    }
    return next;
}

bool AdmissionController::canStartQueued() const
{
    // A slot that a shallow call may use is also available to deeper ones, so it suffices to check the deepest queued call.
    const auto depth = m_queue.maxQueuedDepth();
    return depth && hasFreeSlot(*depth);
}

bool AdmissionController::hasFreeSlot(unsigned depth) const
{
    if (m_inFlight >= currentLimit()) {
        return false;
    }
    unsigned inUseUpToDepth = 0;
    for (unsigned it = 0; it <= kMaxDepth; ++it) {
        inUseUpToDepth += m_slotsByDepth[it];
        if (it >= depth && inUseUpToDepth >= slotLimitForDepth(it)) {
            return false;
        }
    }
    return true;
}

unsigned AdmissionController::slotLimitForDepth(unsigned depth) const
{
    const auto limit = currentLimit();
    const auto reserve = m_options.reserveSlotsByDepth ? kMaxDepth - depth : 0;
    return limit > reserve ? limit - reserve : std::min(limit, 1U);
}

bool AdmissionController::acceptsRequests() const
{
    return m_state == ServingState::Serving && m_options.limits.slots > 0 && m_options.limits.connections > 0;
}

void AdmissionController::setLimits(BackendLimits limits)
{
    m_options.limits = limits;
    m_limit->setMaximum(limits.slots);
    m_ramp->setMaximum(limits.slots);
    m_connections.setMaximum(limits.connections);
    m_logger.write(Events::kLimitsChanged, { field("slots", limits.slots), field("connections", limits.connections) });
}

void AdmissionController::setState(ServingState state)
{
    m_state = state;
    m_logger.write(Events::kLimitsChanged, { field("admits_new", acceptsRequests()) });
}

void AdmissionController::setCold(bool cold)
{
    if (cold && !m_isAnnouncedCold) {
        m_ramp->restart();
        m_logger.write(Events::kColdStartAnnounced, {});
    }
    m_isAnnouncedCold = cold;
}

void AdmissionController::onIdleConnectionClosed()
{
    m_connections.onIdleConnectionClosed();
}

unsigned AdmissionController::surplusConnections() const
{
    return m_connections.surplusCount();
}

unsigned AdmissionController::inFlight() const
{
    return m_inFlight;
}

std::size_t AdmissionController::queueSize() const
{
    return m_queue.size();
}

unsigned AdmissionController::openConnections() const
{
    return m_connections.openCount();
}

unsigned AdmissionController::currentLimit() const
{
    return std::min({ m_options.limits.slots, m_limit->limit(), m_ramp->limit() });
}

ServingState AdmissionController::state() const
{
    return m_state;
}

bool AdmissionController::isIdle() const
{
    return m_inFlight == 0 && m_queue.size() == 0;
}

Duration AdmissionController::medianLatency() const
{
    return m_latency.quantile(0.5);
}

} // namespace Toucandeck
