#include "gateway/local_instance.h"

#include "gateway/events.h"

#include "fleet/incarnation.h"

namespace Toucandeck
{

using std::chrono::milliseconds;

InstanceCheck::Context LocalInstance::checkContext() const
{
    const auto now = m_loop.clock().now();
    const auto &known = m_current ? m_current : m_previous;
    if (!known) {
        return { std::nullopt, now - m_createdAt };
    }
    return { InstanceCheck::LatestProcess{
                 known->instance, known->startUnixMs, known->sequence, known->service, known->listsKeys, !m_current },
             now - known->lastHeartbeat };
}

InstanceVerdict LocalInstance::count(InstanceVerdict verdict)
{
    if (verdict != InstanceVerdict::Accepted) {
        ++m_ignoredMessages[verdict];
    }
    return verdict;
}

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
    if (!m_unverified || m_check.check(m_unverified->heartbeat, checkContext()) == InstanceVerdict::Unverified) {
        return;
    }
    const auto unverified = *std::exchange(m_unverified, std::nullopt);
    // An older one has been repeated, or the process has terminated since.
    if (m_loop.clock().now() - unverified.receivedAt <= m_maxHeartbeatAge) {
        handleHeartbeat(unverified.heartbeat, [](const auto &) {});
    }
}

void LocalInstance::handleHeartbeat(const Heartbeat &it, AnswerHandler answer, std::function<void()> unconfirmed)
{
    if (const auto verdict = count(m_check.check(it, checkContext())); verdict != InstanceVerdict::Accepted) {
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

} // namespace Toucandeck
