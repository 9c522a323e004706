#include "admission/admission_controller.h"

#include "admission/events.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

// A start that leaves only the median latency fails half the time and then holds its slot for the grace of a cancelled request.
constexpr double kStartQuantile = 0.9;
constexpr auto kLatencySpan = std::chrono::seconds(2); // stragglers last seconds; older latencies would hide them

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
    , m_connections(options.connectionSpacing)
    , m_queue(options.queuePerClass)
    , m_latency(clock, kLatencySpan)
{
    m_limit->setMaximum(options.limits.slots);
    m_ramp->setMaximum(options.limits.slots);
    m_connections.setMaximum(options.limits.connections);
}

AdmissionController::~AdmissionController() = default;

Decision AdmissionController::offer(const Offer &offer)
{
    TOUCANDECK_ASSERT(offer.depth <= kMaxDepth, "the depth was checked when the request was parsed");
    TOUCANDECK_ASSERT(!m_running.contains(offer.id) && !m_queue.contains(offer.id), "an id is offered once");
    releaseLingering();
    if (auto refusal = refusalAtOffer(offer)) {
        return *refusal;
    }
    const auto depth = offer.statusCheck ? kMaxDepth : offer.depth;
    if (!mayUseSlot(depth)) {
        return offer.statusCheck ? Decision(refuse(offer.id, ErrorCode::Overloaded, "no slot is free for a status check")) : enqueue(offer);
    }
    // A new request does not overtake one that could start now.
    if (!mayStartWaiting()) {
        if (const auto opened = m_connections.acquire(m_clock.now())) {
            m_queue.countStart(offer.nested);
            return start(offer, *opened);
        }
    }
    return enqueue(offer);
}

std::optional<Refusal> AdmissionController::refusalAtOffer(const Offer &offer)
{
    if (!admitsNew()) {
        return refuse(offer.id, ErrorCode::Unavailable, "the instance is leaving or out");
    }
    if (offer.deadline <= m_clock.now()) {
        return refuse(offer.id, ErrorCode::DeadlineExceeded, "the deadline has passed");
    }
    return std::nullopt;
}

Decision AdmissionController::enqueue(const Offer &offer)
{
    if (m_options.refuseHopeless && m_clock.now() + expectedWait(offer.nested) + recentLatency() > offer.deadline) {
        return refuse(offer.id, ErrorCode::DeadlineExceeded, "the queue is too long to meet the deadline");
    }
    if (!m_queue.push(offer, m_clock.now())) {
        return refuse(offer.id, ErrorCode::Overloaded, "the queue is full");
    }
    return Queued{};
}

Duration AdmissionController::expectedWait(bool nested) const
{
    // The classes take turns, so at most as many of the other class go first.
    const auto ahead = m_queue.size(nested) + std::min(m_queue.size(nested), m_queue.size(!nested));
    return recentLatency() * static_cast<std::int64_t>(ahead) / std::max(currentLimit(), 1U);
}

Start AdmissionController::start(const Offer &offer, bool openConnection)
{
    TOUCANDECK_ASSERT(m_inFlight < m_options.limits.slots, "a request starts only with a free slot");
    const auto depth = offer.statusCheck ? kMaxDepth : offer.depth;
    const bool isNew = m_running.emplace(offer.id, Running{ depth, m_clock.now() }).second;
    TOUCANDECK_ASSERT(isNew, "a request starts once");
    ++m_byDepth[depth];
    ++m_inFlight;
    return { offer.id, openConnection };
}

Refusal AdmissionController::refuse(std::uint64_t id, ErrorCode code, std::string message)
{
    const auto factor = 0.5 + m_random.unit();
    const auto retryAfter = std::chrono::duration_cast<Duration>(m_options.retryAfter * factor);
    return { id, code, std::move(message), retryAfter, Verdict::NotRun };
}

void AdmissionController::finished(std::uint64_t id, const Outcome &outcome)
{
    const auto it = m_running.find(id);
    TOUCANDECK_ASSERT(it != m_running.end(), "a request finishes once, after its start");
    const auto running = it->second;
    m_running.erase(it);
    m_limit->record({ outcome.kind, outcome.latency, m_inFlight });
    if (m_ramp->record(running.started, outcome)) {
        m_logger.write(Events::kColdStartDetected, { field("shed", outcome.kind == AnswerKind::Shed) });
    }
    if (outcome.kind == AnswerKind::Ok) {
        m_latency.record(outcome.latency);
    }
    m_connections.release(outcome.connectionKept);
    const bool mayStillRun = !outcome.connectionKept && (outcome.kind == AnswerKind::Cancelled || outcome.kind == AnswerKind::Failed);
    if (mayStillRun && m_options.cancelGrace > Duration::zero()) {
        m_lingering.push_back({ running.depth, m_clock.now() + m_options.cancelGrace });
    } else {
        releaseSlot(running.depth);
    }
}

void AdmissionController::releaseSlot(unsigned depth)
{
    TOUCANDECK_ASSERT(m_byDepth[depth] > 0 && m_inFlight > 0, "a slot is released once");
    --m_byDepth[depth];
    --m_inFlight;
    TOUCANDECK_ASSERT(m_inFlight == m_running.size() + m_lingering.size(), "each slot in use belongs to a request");
}

void AdmissionController::releaseLingering()
{
    while (!m_lingering.empty() && m_lingering.front().until <= m_clock.now()) {
        const auto depth = m_lingering.front().depth;
        m_lingering.pop_front();
        releaseSlot(depth);
    }
}

bool AdmissionController::cancel(std::uint64_t id)
{
    TOUCANDECK_ASSERT(m_running.contains(id) || m_queue.contains(id), "only a request that waits or runs is cancelled");
    return m_queue.remove(id);
}

PollResult AdmissionController::poll()
{
    releaseLingering();
    PollResult result;
    const auto now = m_clock.now();
    const auto isHopeless = [this, now](const QueuedOffer &it) {
        return !admitsNew() || now >= latestStart(it) || (it.offer.statusCheck && !mayUseSlot(kMaxDepth));
    };
    for (const auto &it : m_queue.removeIf(isHopeless)) {
        result.refusals.push_back(refuseQueued(it.offer));
    }
    while (mayStartWaiting()) {
        const auto opened = m_connections.acquire(now);
        if (!opened) {
            break;
        }
        const auto offer = m_queue.pop([this](unsigned depth) { return mayUseSlot(depth); });
        TOUCANDECK_ASSERT(offer.has_value(), "a waiting request may start");
        result.starts.push_back(start(*offer, *opened));
    }
    return result;
}

Refusal AdmissionController::refuseQueued(const Offer &offer)
{
    if (!admitsNew()) {
        return refuse(offer.id, ErrorCode::Unavailable, "the instance is leaving or out");
    }
    if (offer.deadline <= m_clock.now() + m_latency.quantile(kStartQuantile)) {
        return refuse(offer.id, ErrorCode::DeadlineExceeded, "the deadline cannot be met any more");
    }
    return refuse(offer.id, ErrorCode::Overloaded, "no slot became free in time for a nested call");
}

TimePoint AdmissionController::latestStart(const QueuedOffer &queued) const
{
    if (!m_options.refuseHopeless) {
        return TimePoint::max();
    }
    const auto byDeadline = queued.offer.deadline - m_latency.quantile(kStartQuantile);
    if (!queued.offer.nested || currentLimit() > kMaxDepth) {
        return byDeadline;
    }
    return std::min(byDeadline, queued.since + m_options.nestedWaitWhenCold);
}

std::optional<TimePoint> AdmissionController::nextWakeup() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    if (!m_lingering.empty()) {
        consider(m_lingering.front().until);
    }
    m_queue.forEach([this, &consider](const QueuedOffer &it) { consider(latestStart(it)); });
    if (mayStartWaiting()) {
        if (m_connections.idle() > m_connections.surplus()) {
            consider(m_clock.now());
        } else if (const auto opening = m_connections.nextOpening()) {
            consider(std::max(*opening, m_clock.now()));
        }
    }
    return next;
}

bool AdmissionController::mayStartWaiting() const
{
    // A slot that a shallow call may use is also open to deeper ones, so the deepest call decides.
    const auto depth = m_queue.deepest();
    return depth && mayUseSlot(*depth);
}

bool AdmissionController::mayUseSlot(unsigned depth) const
{
    if (m_inFlight >= currentLimit()) {
        return false;
    }
    unsigned upTo = 0;
    for (unsigned it = 0; it <= kMaxDepth; ++it) {
        upTo += m_byDepth[it];
        if (it >= depth && upTo >= slotsForDepth(it)) {
            return false;
        }
    }
    return true;
}

unsigned AdmissionController::slotsForDepth(unsigned depth) const
{
    const auto limit = currentLimit();
    const auto reserve = m_options.depthReserve ? kMaxDepth - depth : 0;
    return limit > reserve ? limit - reserve : std::min(limit, 1U);
}

bool AdmissionController::admitsNew() const
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
    m_logger.write(Events::kLimitsChanged, { field("admits_new", admitsNew()) });
}

void AdmissionController::setCold(bool cold)
{
    if (cold && !m_announcedCold) {
        m_ramp->restart();
        m_logger.write(Events::kColdStartAnnounced, {});
    }
    m_announcedCold = cold;
}

void AdmissionController::connectionClosed()
{
    m_connections.idleClosed();
}

unsigned AdmissionController::surplusConnections() const
{
    return m_connections.surplus();
}

unsigned AdmissionController::inFlight() const
{
    return m_inFlight;
}

std::size_t AdmissionController::queued() const
{
    return m_queue.size();
}

unsigned AdmissionController::openConnections() const
{
    return m_connections.open();
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

Duration AdmissionController::recentLatency() const
{
    return m_latency.quantile(0.5);
}

} // namespace Toucandeck
