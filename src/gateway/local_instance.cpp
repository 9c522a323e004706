#include "gateway/local_instance.h"

#include "gateway/events.h"

#include "fleet/incarnation.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr double kClockDrift = 0.03; ///< A backend server's clock may run 2% slow.
constexpr milliseconds kHoldMargin{ 20 };
/// Below this an answer names no keys: they would end before the next heartbeat.
constexpr milliseconds kLeastHold{ 300 };
/// An answer may be delayed for this long to carry a change of the keys; backend servers give up on an answer after a second.
constexpr milliseconds kMaxAnswerDelay{ 780 };
/// Of the interval of heartbeats: the answer must be there before the next heartbeat, which may be sent on another connection.
constexpr double kAnswerDelayShare = 0.9;
constexpr milliseconds kSurgeReports{ 300 }; ///< Least time between two announcements because of a surge of demand.
constexpr int kRefusalsForEnd = 2;
constexpr milliseconds kRefusalsApart{ 50 };
constexpr milliseconds kHeartbeatDelay{ 30 }; ///< On the way. What a heartbeat says may be this much older than the interval.

} // namespace

LocalInstance::LocalInstance(EventLoop &loop, Logger &logger, std::string address, Duration heartbeatInterval)
    : m_loop(loop)
    , m_logger(logger)
    , m_address(std::move(address))
    , m_heartbeatAge(heartbeatInterval + kHeartbeatDelay)
    , m_answerDelay(std::min<Duration>(kMaxAnswerDelay, std::chrono::duration_cast<Duration>(heartbeatInterval * kAnswerDelayShare)))
{
}

void LocalInstance::setChanged(std::function<void()> changed)
{
    m_changed = std::move(changed);
}

void LocalInstance::setStarted(std::function<void()> started)
{
    m_started = std::move(started);
}

bool LocalInstance::isStale(const Heartbeat &it) const
{
    const auto &latest = m_current ? m_current : m_former;
    if (!latest) {
        return false;
    }
    if (it.bornMs != latest->bornMs || it.instance != latest->instance) {
        return it.bornMs < latest->bornMs;
    }
    return it.sequence <= latest->sequence;
}

void LocalInstance::heartbeat(const Heartbeat &it, Answer answer)
{
    if (it.address != m_address || isStale(it)) {
        m_logger.write(GatewayEvents::kHeartbeatIgnored,
                       { field("instance", it.instance),
                         field("address", it.address),
                         field("born_ms", it.bornMs),
                         field("sequence", it.sequence),
                         field("current", m_current ? m_current->name : std::string()) });
        answer(std::nullopt);
        return;
    }
    answerPending();
    const bool starts = !m_current || it.bornMs != m_current->bornMs || it.instance != m_current->instance;
    if (starts) {
        start(it);
    }
    update(it);
    if (starts && m_started) {
        m_started();
    }
    if (!mayDelayAnswer(it)) {
        sendAnswer(answer);
        return;
    }
    m_pending = std::move(answer);
    m_pendingTimer = m_loop.after(m_answerDelay, [this] { answerPending(); });
}

bool LocalInstance::mayDelayAnswer(const Heartbeat &it) const
{
    if (!m_terms.keyed || it.draining || m_leaving || !it.released.empty()) {
        return false;
    }
    // The backend server still holds keys that it is to release, or lacks some: it must hear of that now.
    const auto rows = rowsToHold();
    const auto same = [](const HeldKeys &a, const KeyRow &b) { return a.range == b.range && a.fence == b.fence; };
    return std::equal(it.holds.begin(), it.holds.end(), rows.begin(), rows.end(), same);
}

void LocalInstance::start(const Heartbeat &it)
{
    if (m_current) {
        m_ended = m_current->name; // Its address is bound by the new incarnation.
        m_logger.write(GatewayEvents::kInstanceEnded,
                       { field("incarnation", m_ended), field("reason", "another process has its address") });
    }
    m_current = Incarnation{};
    m_current->instance = it.instance;
    m_current->bornMs = it.bornMs;
    m_current->name = incarnationName(it.instance, it.bornMs, m_presumedEnds);
    m_leased.clear();
    m_leaseEnd = {};
    m_told.clear();
    m_toldUntil = {};
    m_released.clear();
    m_demand.clear();
    m_logger.write(GatewayEvents::kInstanceStarted,
                   { field("incarnation", m_current->name),
                     field("service", it.service),
                     field("version", it.version),
                     field("slots", it.slots),
                     field("cold_ms", std::chrono::duration_cast<milliseconds>(it.coldRemaining).count()),
                     field("sequence", it.sequence) });
}

void LocalInstance::update(const Heartbeat &it)
{
    const auto now = m_loop.clock().now();
    const bool draining = it.draining || m_current->deregistered;
    const bool changed = m_current->draining != draining || m_current->service != it.service || m_current->slots != it.slots;
    m_current->sequence = it.sequence;
    m_current->service = it.service;
    m_current->slots = it.slots;
    m_current->draining = draining;
    m_current->lastHeartbeat = now;
    m_current->coldUntil = now + it.coldRemaining;
    m_refusals = 0;
    noteReleased(it);
    m_reported = it.holds;
    if (changed) {
        m_logger.write(GatewayEvents::kInstanceState,
                       { field("incarnation", m_current->name),
                         field("state", m_current->draining ? "draining" : "ready"),
                         field("sequence", it.sequence),
                         field("slots", it.slots) });
    }
    if ((changed || !it.released.empty()) && m_changed) {
        m_changed();
    }
}

std::uint64_t LocalInstance::fenceOf(KeyRange range) const
{
    for (const auto &it : m_told) {
        if (it.range.overlaps(range)) {
            return it.fence;
        }
    }
    for (const auto &it : m_reported) {
        if (it.range.overlaps(range)) {
            return it.fence;
        }
    }
    return 0;
}

void LocalInstance::noteReleased(const Heartbeat &it)
{
    for (const auto &released : it.released) {
        // The heartbeat before named the fencing token of what is released now.
        std::uint64_t fence = 0;
        for (const auto &held : m_reported) {
            fence = held.range.overlaps(released.range) ? held.fence : fence;
        }
        fence = fence != 0 ? fence : fenceOf(released.range);
        for (const auto &range : notHeld(released.range, fence, it.holds)) {
            noteReleased(range, fence, released.handover, it.sequence);
        }
    }
}

std::vector<KeyRange> LocalInstance::notHeld(KeyRange range, std::uint64_t fence, const std::vector<HeldKeys> &holds)
{
    // Keys that it has taken back since, because a new leader did not know of their release, are not free.
    std::vector<KeyRange> rests{ range };
    for (const auto &held : holds) {
        std::vector<KeyRange> next;
        for (const auto &it : rests) {
            const auto parts = held.fence == fence ? difference(it, held.range) : std::vector<KeyRange>{ it };
            next.insert(next.end(), parts.begin(), parts.end());
        }
        rests = std::move(next);
    }
    return rests;
}

void LocalInstance::noteReleased(KeyRange range, std::uint64_t fence, const std::string &handover, std::uint64_t sequence)
{
    wire::FreedKeys keys;
    keys.set_incarnation(m_current->name);
    keys.set_from(range.from);
    keys.set_to(range.to);
    keys.set_fence(fence);
    keys.set_handover(handover);
    m_logger.write(GatewayEvents::kKeysFreed,
                   { field("incarnation", m_current->name),
                     field("from", range.from),
                     field("to", range.to),
                     field("fence", fence),
                     field("sequence", sequence) });
    m_released.push_back({ std::move(keys), 0 });
}

void LocalInstance::deregister(const std::string &instance)
{
    if (!m_current || m_current->instance != instance || m_current->deregistered) {
        return;
    }
    m_current->deregistered = true;
    m_current->draining = true;
    m_logger.write(GatewayEvents::kInstanceState, { field("incarnation", m_current->name), field("state", "deregistered") });
    answerPending();
    if (m_changed) {
        m_changed();
    }
}

void LocalInstance::connectionRefused()
{
    const auto now = m_loop.clock().now();
    if (!m_current) {
        return;
    }
    if (m_refusals++ == 0) {
        m_firstRefusal = now;
    }
    if (m_refusals < kRefusalsForEnd || now - m_firstRefusal < kRefusalsApart) {
        return;
    }
    m_logger.write(GatewayEvents::kInstanceEnded,
                   { field("incarnation", m_current->name),
                     field("reason", "its address refuses connections"),
                     field("refusals", m_refusals),
                     field("silence_ms", std::chrono::duration_cast<milliseconds>(silence()).count()) });
    m_ended = m_current->name;
    ++m_presumedEnds;
    m_former = std::exchange(m_current, std::nullopt);
    m_pending = nullptr;
    m_pendingTimer.cancel();
    if (m_changed) {
        m_changed();
    }
}

void LocalInstance::setTerms(const LocalTerms &terms)
{
    if (m_terms.evacuated && !terms.evacuated) {
        m_takenBack = m_loop.clock().now();
    }
    m_terms = terms;
}

void LocalInstance::setLeaving()
{
    m_leaving = true;
    answerPending();
}

void LocalInstance::applyLease(const wire::LeaseGrant &lease, TimePoint sentAt)
{
    if (!m_current || lease.incarnation() != m_current->name) {
        return;
    }
    std::vector<KeyRow> rows;
    for (const auto &it : lease.rows()) {
        rows.push_back(fromWire(it));
    }
    const bool changed = rows != m_leased;
    m_leased = std::move(rows);
    m_leaseEnd = std::max(m_leaseEnd, sentAt + milliseconds(lease.duration_ms()));
    if (changed) {
        answerPending();
    }
}

void LocalInstance::acknowledged(std::uint64_t sequence)
{
    std::erase_if(m_released, [sequence](const Released &it) { return it.sentIn != 0 && it.sentIn <= sequence; });
}

std::vector<KeyRow> LocalInstance::rowsToHold() const
{
    if (m_current && m_current->draining) {
        return {};
    }
    // A new leader may grant keys again whose release it does not know. Taken back, they could be given to another one meanwhile.
    std::vector<KeyRow> rows = m_leased;
    for (const auto &it : m_released) {
        const KeyRange released{ it.keys.from(), it.keys.to() };
        std::vector<KeyRow> rests;
        for (const auto &row : rows) {
            if (row.fence != it.keys.fence() || !row.range.overlaps(released)) {
                rests.push_back(row);
                continue;
            }
            for (const auto &rest : difference(row.range, released)) {
                rests.push_back(row);
                rests.back().range = rest;
            }
        }
        rows = std::move(rests);
    }
    return rows;
}

std::optional<HeartbeatAnswer> LocalInstance::currentAnswer() const
{
    if (!m_current || !m_terms.keyed) {
        return std::nullopt;
    }
    const auto left = m_leaseEnd - m_loop.clock().now();
    const auto hold = std::chrono::duration_cast<Duration>(left / (1 + kClockDrift)) - kHoldMargin;
    if (hold < kLeastHold) {
        return std::nullopt;
    }
    return HeartbeatAnswer{ rowsToHold(), hold };
}

void LocalInstance::answerPending()
{
    m_pendingTimer.cancel();
    if (m_pending) {
        sendAnswer(std::exchange(m_pending, nullptr));
    }
}

void LocalInstance::sendAnswer(const Answer &answer)
{
    auto current = currentAnswer();
    if (current) {
        m_toldUntil = m_loop.clock().now() + current->holdTime;
        if (current->rows != m_told) {
            m_told = current->rows;
            m_logger.write(
                GatewayEvents::kHoldsGranted,
                { field("incarnation", m_current->name),
                  field("rows", m_told.size()),
                  field("first", m_told.empty() ? std::string() : fmt::format("{}-{}", m_told.front().range.from, m_told.front().range.to)),
                  field("fence", m_told.empty() ? 0 : m_told.front().fence),
                  field("hold_ms", std::chrono::duration_cast<milliseconds>(current->holdTime).count()) });
        }
    }
    answer(std::move(current));
}

bool LocalInstance::holds(std::uint32_t key) const
{
    const auto now = m_loop.clock().now();
    const auto names = [key](const KeyRow &it) { return it.range.contains(key); };
    const auto rows = rowsToHold();
    return now < m_toldUntil && now < m_leaseEnd && std::any_of(m_told.begin(), m_told.end(), names)
        && std::any_of(rows.begin(), rows.end(), names);
}

wire::CallReason LocalInstance::refusal(const Call &call) const
{
    if (!m_current || m_current->service != call.service) {
        return wire::NO_INSTANCE;
    }
    if (m_leaving) {
        return wire::LEAVING;
    }
    if (m_current->draining) {
        return wire::INSTANCE_DRAINING;
    }
    if (m_terms.evacuated) {
        return wire::EVACUATED;
    }
    if (m_terms.keyed && (!call.key || !holds(*call.key))) {
        return wire::NOT_HOLDER;
    }
    return wire::NONE;
}

std::uint32_t LocalInstance::slots() const
{
    return m_current ? m_current->slots : 0;
}

bool LocalInstance::isCold() const
{
    if (!m_current) {
        return false;
    }
    const auto now = m_loop.clock().now();
    // Just after its failure domain was taken back, the last heartbeat may be from before it turned cold.
    const bool unknown
        = m_takenBack != TimePoint() && m_current->lastHeartbeat < m_takenBack + m_heartbeatAge && now < m_takenBack + 2 * m_heartbeatAge;
    return now < m_current->coldUntil || unknown;
}

double LocalInstance::coldRequestsPerSecond() const
{
    return m_terms.coldRequestsPerSecond;
}

std::string LocalInstance::instance() const
{
    return m_current ? m_current->instance : std::string();
}

bool LocalInstance::isKeyed() const
{
    return m_terms.keyed;
}

const std::string &LocalInstance::service() const
{
    static const std::string none;
    return m_current ? m_current->service : none;
}

bool LocalInstance::isPresent() const
{
    return m_current.has_value();
}

Duration LocalInstance::silence() const
{
    return m_current ? m_loop.clock().now() - m_current->lastHeartbeat : Duration::zero();
}

void LocalInstance::setMeanWork(Duration work)
{
    m_meanWork = work;
}

void LocalInstance::countDemand(std::uint32_t key)
{
    const auto now = m_loop.clock().now();
    m_demand.record(key, now);
    if (m_changed && now - m_surgeReported >= kSurgeReports && m_demand.surges(now)) {
        m_surgeReported = now;
        m_changed(); // Keys may have to move before the next announcement is due.
    }
}

wire::InstanceReport LocalInstance::report() const
{
    wire::InstanceReport report;
    report.set_ended(m_ended);
    report.set_state(wire::ABSENT);
    if (!m_current) {
        return report;
    }
    report.set_incarnation(m_current->name);
    report.set_instance(m_current->instance);
    report.set_service(m_current->service);
    report.set_state(m_current->draining ? wire::DRAINING : wire::READY);
    report.set_slots(m_current->slots);
    report.set_work_us(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(m_meanWork).count()));
    return report;
}

void LocalInstance::fillReleased(wire::Announce &announce)
{
    for (auto &it : m_released) {
        if (it.sentIn == 0) {
            it.sentIn = announce.sequence();
        }
        *announce.add_freed() = it.keys;
    }
}

void LocalInstance::fillDemand(wire::Announce &announce)
{
    const auto now = m_loop.clock().now();
    auto points = m_demand.points(now);
    if (points.empty()) {
        return;
    }
    auto &demand = *announce.mutable_demand();
    demand.set_service(service());
    demand.set_rate_milli(static_cast<std::uint64_t>(m_demand.rate(now) * 1000));
    demand.mutable_points()->Add(points.begin(), points.end());
}

} // namespace Toucandeck
