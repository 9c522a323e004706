#include "gateway/local_instance.h"

#include "gateway/events.h"

#include "fleet/incarnation.h"

namespace Toucandeck
{

using std::chrono::milliseconds;

std::string LocalInstance::departingIncarnation(const std::string &instance, std::optional<std::int64_t> startUnixMs) const
{
    if (m_current && m_current->instance == instance && startUnixMs.value_or(m_current->startUnixMs) == m_current->startUnixMs) {
        return m_current->name;
    }
    const auto now = m_loop.clock().wallNow().time_since_epoch();
    return incarnationName(instance, startUnixMs.value_or(std::chrono::duration_cast<milliseconds>(now).count()), 0);
}

InstanceVerdict LocalInstance::deregister(const DepartureNotice &notice, Departures::Done done)
{
    const auto verdict = count(m_check.check(notice, checkContext()));
    const auto incarnation = departingIncarnation(notice.instance, notice.startUnixMs);
    m_logger.write(GatewayEvents::kInstanceDeregistration,
                   { field("instance", notice.instance),
                     field("incarnation", incarnation),
                     field("current", m_current ? m_current->name : std::string()),
                     field("verdict", toString(verdict)) });
    if (verdict != InstanceVerdict::Accepted) {
        return verdict;
    }
    if (m_leavingProcesses.add(incarnation) && m_changeHandler) {
        m_changeHandler();
    }
    leaveIfKnown();
    confirmDeparture(incarnation, std::move(done));
    return verdict;
}

void LocalInstance::confirmDeparture(const std::string &incarnation, Departures::Done done)
{
    if (m_departures.isRecorded(incarnation)) {
        done(true);
        return;
    }
    const auto receivedAt = m_loop.clock().now();
    m_departures.confirm(incarnation, [this, incarnation, receivedAt, done = std::move(done)](bool isRecorded) {
        const auto took = m_loop.clock().now() - receivedAt;
        m_logger.write(GatewayEvents::kDepartureAnswered,
                       { field("incarnation", incarnation), field("recorded", isRecorded), field("took_ms", wholeMs(took)) });
        done(isRecorded);
    });
}

void LocalInstance::answerDeparting(const std::string &incarnation, AnswerHandler answer, std::function<void()> unconfirmed)
{
    if (m_leavingProcesses.add(incarnation) && m_changeHandler) {
        m_changeHandler();
    }
    leaveIfKnown();
    confirmDeparture(incarnation, [this, incarnation, answer = std::move(answer), unconfirmed = std::move(unconfirmed)](bool isRecorded) {
        if (!isRecorded && unconfirmed) {
            unconfirmed();
        } else if (m_current && m_current->name == incarnation) {
            sendAnswer(answer);
        } else {
            answer(std::nullopt);
        }
    });
}

void LocalInstance::applyRecord(const wire::InstanceReport &record)
{
    m_leavingProcesses.add(LeavingProcesses(record));
    leaveIfKnown();
}

void LocalInstance::applyDepartures(const wire::RecordedDepartures &departures)
{
    for (const auto &it : departures.incarnations()) {
        m_leavingProcesses.add(it);
    }
    leaveIfKnown();
    m_departures.setRecorded(departures);
}

void LocalInstance::assumeDeparturesRecorded()
{
    wire::RecordedDepartures departures;
    departures.mutable_incarnations()->Add(m_leavingProcesses.names().begin(), m_leavingProcesses.names().end());
    m_departures.setRecorded(departures);
}

void LocalInstance::leaveIfKnown()
{
    if (m_current && !m_current->draining && m_leavingProcesses.covers(m_current->name)) {
        startLeaving();
    }
}

void LocalInstance::startLeaving()
{
    if (m_current->deregistered) {
        return;
    }
    m_current->deregistered = true;
    m_current->draining = true;
    m_leavingProcesses.add(m_current->name);
    m_logger.write(GatewayEvents::kInstanceState, { field("incarnation", m_current->name), field("state", "deregistered") });
    answerPending();
    updateCallGrants();
    if (m_changeHandler) {
        m_changeHandler();
    }
}

} // namespace Toucandeck
