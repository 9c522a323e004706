#include "gateway/local_instance.h"

#include "gateway/events.h"

#include "fleet/incarnation.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

/// Longest delay of an answer that waits for a change of the keys; backend servers wait one second for an answer.
constexpr milliseconds kMaxAnswerDelay{ 780 };
/// Longest delay as a share of the heartbeat interval: the answer must arrive before the next heartbeat, which may be sent on another
/// connection.
constexpr double kAnswerDelayShare = 0.9;
constexpr milliseconds kMinSurgeReportInterval{ 300 }; ///< Between two announcements triggered by a surge of demand.
constexpr milliseconds kCallGrantsInterval{ 200 };
constexpr int kRefusalsForTermination = 2; ///< Consecutive refused connections that show that the process has terminated.
constexpr milliseconds kMinRefusalSpan{ 50 }; ///< Between the first and the last of them.
constexpr milliseconds kHeartbeatTransitTime{ 30 }; ///< The state in a heartbeat may be this much older than the interval.

} // namespace

LocalInstance::LocalInstance(EventLoop &loop, Logger &logger, GrantPort &grantPort, BackendIdentity identity, Duration heartbeatInterval)
    : m_loop(loop)
    , m_logger(logger)
    , m_grantPort(grantPort)
    , m_check(std::move(identity))
    , m_maxHeartbeatAge(heartbeatInterval + kHeartbeatTransitTime)
    , m_maxAnswerDelay(std::min<Duration>(kMaxAnswerDelay, std::chrono::duration_cast<Duration>(heartbeatInterval * kAnswerDelayShare)))
    , m_departures(loop)
    , m_pendingReleases(logger)
    , m_createdAt(loop.clock().now())
    , m_callGrants(loop.clock(), logger, grantPort)
{
    m_callGrants.setReleasedHandler([this](const HeldKeys &keys, const std::string &handover) {
        m_pendingReleases.add(m_current->name, keys, handover);
        if (m_changeHandler) {
            m_changeHandler();
        }
    });
}

void LocalInstance::setChangeHandler(std::function<void()> handler)
{
    m_changeHandler = std::move(handler);
}

void LocalInstance::setStartHandler(std::function<void()> handler)
{
    m_startHandler = std::move(handler);
}

void LocalInstance::setServiceLookup(InstanceCheck::ServiceLookup lookup)
{
    m_check.setServiceLookup(std::move(lookup));
}

template<class Message>
InstanceVerdict LocalInstance::verdictOf(const Message &it)
{
    const auto &known = m_current ? m_current : m_previous;
    InstanceCheck::LatestProcess latest;
    if (known) {
        latest = { known->instance, known->startUnixMs, known->sequence, known->service, known->listsKeys, !m_current };
    }
    const auto lastAccepted = known ? known->lastHeartbeat : m_createdAt;
    const auto verdict = m_check.check(it, { known ? &latest : nullptr, m_loop.clock().now() - lastAccepted });
    if (verdict != InstanceVerdict::Accepted) {
        ++m_ignoredMessages[verdict];
    }
    return verdict;
}

template InstanceVerdict LocalInstance::verdictOf(const Heartbeat &it);
template InstanceVerdict LocalInstance::verdictOf(const DepartureNotice &it);

void LocalInstance::handleIgnored(const Heartbeat &it, InstanceVerdict verdict, AnswerHandler answer, std::function<void()> unconfirmed)
{
    m_logger.write(GatewayEvents::kHeartbeatIgnored,
                   { field("reason", toString(verdict)),
                     field("instance", it.instance),
                     field("address", it.address),
                     field("service", it.service),
                     field("born_ms", it.startUnixMs),
                     field("sequence", it.sequence),
                     field("current", m_current ? m_current->name : std::string()) });
    if (verdict == InstanceVerdict::Unverified) {
        m_unverified = { it, m_loop.clock().now() };
    }
    if (it.draining && verdict == InstanceVerdict::Stale) {
        answerDeparting(departingIncarnation(it.instance, it.startUnixMs), std::move(answer), std::move(unconfirmed));
    } else if (it.draining && verdict == InstanceVerdict::Unverified && unconfirmed) {
        unconfirmed();
    } else {
        answer(std::nullopt);
    }
}

void LocalInstance::onManifestChanged()
{
    // Older ones have been repeated, or the process has terminated since.
    if (m_unverified && m_loop.clock().now() - m_unverified->receivedAt <= m_maxHeartbeatAge) {
        const auto it = std::exchange(m_unverified, std::nullopt)->heartbeat;
        handleHeartbeat(it, [](const auto &) {});
    }
}

void LocalInstance::handleHeartbeat(const Heartbeat &it, AnswerHandler answer, std::function<void()> unconfirmed)
{
    if (const auto verdict = verdictOf(it); verdict != InstanceVerdict::Accepted) {
        handleIgnored(it, verdict, std::move(answer), std::move(unconfirmed));
        return;
    }
    answerPending();
    const bool starts = !m_current || it.startUnixMs != m_current->startUnixMs || it.instance != m_current->instance;
    if (starts) {
        startIncarnation(it);
    }
    updateIncarnation(it);
    if (starts && m_startHandler) {
        m_startHandler();
    }
    if (grantsByCall()) {
        m_grantPort.onHeartbeat(m_current->lastHeartbeat);
        updateCallGrants();
    }
    if (it.draining) {
        answerDeparting(m_current->name, std::move(answer), std::move(unconfirmed));
        return;
    }
    if (!mayDelayAnswer(it)) {
        sendAnswer(answer);
        return;
    }
    m_pendingAnswer = std::move(answer);
    m_pendingAnswerTimer = m_loop.after(m_maxAnswerDelay, [this] { answerPending(); });
}

void LocalInstance::startIncarnation(const Heartbeat &it)
{
    m_isFirstIncarnation = !m_current && !m_previous;
    if (m_current) {
        m_terminatedIncarnation = m_current->name; // The new incarnation has bound its address.
        m_logger.write(GatewayEvents::kInstanceTerminated,
                       { field("incarnation", m_terminatedIncarnation), field("reason", "another process has its address") });
    }
    m_current = Incarnation{};
    m_current->instance = it.instance;
    m_current->startUnixMs = it.startUnixMs;
    m_current->name = incarnationName(it.instance, it.startUnixMs, m_presumedTerminations);
    m_current->deregistered = m_leavingProcesses.covers(m_current->name);
    m_leasedRows.clear();
    m_leaseExpiry = {};
    m_sentRows.clear();
    m_sentRowsExpiry = {};
    m_pendingReleases.clear();
    m_grantPort.onProcessEnded();
    m_callGrants.clear();
    m_demand.clear();
    m_speedPermille = 0;
    m_logger.write(GatewayEvents::kInstanceStarted,
                   { field("incarnation", m_current->name),
                     field("service", it.service),
                     field("version", it.version),
                     field("slots", it.slots),
                     field("cold_ms", std::chrono::duration_cast<milliseconds>(it.coldRemaining).count()),
                     field("sequence", it.sequence) });
}

void LocalInstance::updateIncarnation(const Heartbeat &it)
{
    const auto now = m_loop.clock().now();
    const bool draining = it.draining || m_current->deregistered;
    const bool changed = m_current->draining != draining || m_current->service != it.service || m_current->slots != it.slots;
    m_current->sequence = it.sequence;
    m_current->service = it.service;
    m_current->slots = it.slots;
    m_current->listsKeys = it.listsKeys;
    m_current->draining = draining;
    m_current->lastHeartbeat = now;
    m_current->coldUntil = now + it.coldRemaining;
    m_connectionRefusals = 0;
    if (draining) {
        m_leavingProcesses.add(m_current->name);
    }
    m_pendingReleases.record(
        m_current->name, it, m_reportedHolds, m_sentRows, [this](KeyRange range) { return m_callGrants.unansweredEnd(range); });
    m_reportedHolds = it.holds;
    if (changed) {
        m_logger.write(GatewayEvents::kInstanceState,
                       { field("incarnation", m_current->name),
                         field("state", m_current->draining ? "draining" : "ready"),
                         field("sequence", it.sequence),
                         field("slots", it.slots) });
    }
    if ((changed || !it.released.empty()) && m_changeHandler) {
        m_changeHandler();
    }
}

void LocalInstance::onConnectionRefused()
{
    const auto now = m_loop.clock().now();
    if (!m_current) {
        return;
    }
    if (m_connectionRefusals++ == 0) {
        m_firstRefusal = now;
    }
    if (m_connectionRefusals < kRefusalsForTermination || now - m_firstRefusal < kMinRefusalSpan) {
        return;
    }
    m_logger.write(GatewayEvents::kInstanceTerminated,
                   { field("incarnation", m_current->name),
                     field("reason", "its address refuses connections"),
                     field("refusals", m_connectionRefusals),
                     field("silence_ms", std::chrono::duration_cast<milliseconds>(timeSinceHeartbeat()).count()) });
    m_terminatedIncarnation = m_current->name;
    ++m_presumedTerminations;
    m_previous = std::exchange(m_current, std::nullopt);
    m_pendingAnswer = nullptr;
    m_pendingAnswerTimer.cancel();
    m_grantPort.onProcessEnded();
    m_callGrants.clear();
    if (m_changeHandler) {
        m_changeHandler();
    }
}

void LocalInstance::setPolicy(const InstancePolicy &policy)
{
    if (m_policy.evacuated && !policy.evacuated) {
        m_evacuationEnd = m_loop.clock().now();
    }
    const bool beginsCalls = policy.keyed && policy.grantWay == GrantWay::Call && !grantsByCall();
    m_policy = policy;
    if (!grantsByCall()) {
        m_callGrantsTimer.cancel();
    } else if (beginsCalls) {
        m_callGrants.recordHeld(m_sentRows, m_sentRowsExpiry);
        m_callGrantsTimer = m_loop.every(kCallGrantsInterval, [this] { updateCallGrants(); });
        answerPending();
        if (m_current) {
            // The manifest often comes after the first heartbeat that a gateway receives.
            m_grantPort.onHeartbeat(m_current->lastHeartbeat);
        }
    }
}

void LocalInstance::setLeaving()
{
    m_leaving = true;
    answerPending();
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
    if (m_policy.evacuated) {
        return wire::EVACUATED;
    }
    if (!m_policy.hasManifest && isCold()) {
        return wire::COLD; // Without a manifest, the rate that a cold backend server of this service can take is not known.
    }
    if (m_policy.keyed && (!call.key || !holdsKey(*call.key))) {
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
    // Just after the evacuation of its failure domain, the last heartbeat may be from before the backend server became cold.
    const bool coldStateUnknown = m_evacuationEnd != TimePoint() && m_current->lastHeartbeat < m_evacuationEnd + m_maxHeartbeatAge
        && now < m_evacuationEnd + 2 * m_maxHeartbeatAge;
    return now < m_current->coldUntil || coldStateUnknown;
}

double LocalInstance::coldRequestsPerSecond() const
{
    return m_policy.coldRequestsPerSecond;
}

std::string LocalInstance::instance() const
{
    return m_current ? m_current->instance : std::string();
}

bool LocalInstance::isKeyed() const
{
    return m_policy.keyed;
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

Duration LocalInstance::timeSinceHeartbeat() const
{
    return m_current ? m_loop.clock().now() - m_current->lastHeartbeat : Duration::zero();
}

void LocalInstance::setMeanServiceTime(Duration serviceTime)
{
    m_meanServiceTime = serviceTime;
}

void LocalInstance::setSpeed(std::uint32_t permille)
{
    m_speedPermille = permille;
}

void LocalInstance::recordDemand(std::uint32_t key)
{
    const auto now = m_loop.clock().now();
    m_demand.record(key, now);
    if (m_changeHandler && now - m_lastSurgeReport >= kMinSurgeReportInterval && m_demand.hasSurge(now)) {
        m_lastSurgeReport = now;
        m_changeHandler(); // Keys may have to move before the next announcement is due.
    }
}

std::uint64_t LocalInstance::ignoredMessages(InstanceVerdict reason) const
{
    const auto it = m_ignoredMessages.find(reason);
    return it == m_ignoredMessages.end() ? 0 : it->second;
}

const Departures &LocalInstance::departures() const
{
    return m_departures;
}

wire::InstanceReport LocalInstance::report() const
{
    wire::InstanceReport report;
    report.set_ended(m_terminatedIncarnation);
    m_leavingProcesses.addTo(report);
    report.set_state(wire::ABSENT);
    if (!m_current) {
        return report;
    }
    report.set_incarnation(m_current->name);
    report.set_instance(m_current->instance);
    report.set_service(m_current->service);
    report.set_state(m_current->draining ? wire::DRAINING : wire::READY);
    report.set_slots(m_current->slots);
    report.set_work_us(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(m_meanServiceTime).count()));
    report.set_speed_permille(m_speedPermille);
    return report;
}

void LocalInstance::addReleasedKeys(wire::Announce &announce)
{
    m_pendingReleases.addTo(announce, m_loop.clock().now());
}

void LocalInstance::addDemand(wire::Announce &announce)
{
    const auto now = m_loop.clock().now();
    auto quantiles = m_demand.quantileKeys(now);
    if (quantiles.empty()) {
        return;
    }
    auto &demand = *announce.mutable_demand();
    demand.set_service(service());
    demand.set_rate_milli(static_cast<std::uint64_t>(m_demand.rate(now) * 1000));
    demand.mutable_points()->Add(quantiles.begin(), quantiles.end());
}

} // namespace Toucandeck
