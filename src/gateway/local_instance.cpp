#include "gateway/local_instance.h"

#include "gateway/events.h"

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
