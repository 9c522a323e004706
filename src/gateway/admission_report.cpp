#include "gateway/admission_report.h"

#include "gateway/events.h"

namespace Toucandeck
{

AdmissionReport::AdmissionReport(Logger &logger, Metrics &metrics)
    : m_logger(logger)
    , m_metrics(metrics)
{
}

void AdmissionReport::write(const BackendAdmission &admission)
{
    for (const auto origin : { CallOrigin::Client, CallOrigin::ClientRetry, CallOrigin::Nested }) {
        writeOrigin(admission, origin);
    }
    m_reported = admission.tally();
}

void AdmissionReport::writeOrigin(const BackendAdmission &admission, CallOrigin origin)
{
    const auto &counts = admission.tally().of(origin);
    const auto &before = m_reported.of(origin);
    const auto started = counts.started - before.started;
    const auto refused = counts.refused - before.refused;
    const auto slotTime = counts.slotTime - before.slotTime;
    const auto waiting = admission.waitingCount(origin);
    if (started == 0 && refused == 0 && waiting == 0 && counts.ended == before.ended) {
        return;
    }
    const std::string name(toString(origin));
    m_logger.write(GatewayEvents::kAdmissionReport,
                   { field("origin", name),
                     field("started", started),
                     field("started_late", counts.startedLate - before.startedLate),
                     field("refused", refused),
                     field("refused_busy", counts.refusedBusy - before.refusedBusy),
                     field("usual_wait_ms", std::chrono::duration_cast<std::chrono::milliseconds>(admission.usualWait()).count()),
                     field("slot_ms", std::chrono::duration_cast<std::chrono::milliseconds>(slotTime).count()),
                     field("running", admission.runningCount(origin)),
                     field("waiting", waiting) });
    m_metrics.counter("toucandeck_calls_started_total", "Calls sent to the backend server, by origin", { { "origin", name } })
        .Increment(static_cast<double>(started));
    m_metrics.counter("toucandeck_calls_refused_total", "Calls refused before the backend server, by origin", { { "origin", name } })
        .Increment(static_cast<double>(refused));
    m_metrics
        .counter("toucandeck_calls_busy_total",
                 "Calls refused because another backend server runs them sooner, by origin",
                 { { "origin", name } })
        .Increment(static_cast<double>(counts.refusedBusy - before.refusedBusy));
    m_metrics
        .counter("toucandeck_calls_started_late_total",
                 "Calls started that were expected to miss their latency target, by origin",
                 { { "origin", name } })
        .Increment(static_cast<double>(counts.startedLate - before.startedLate));
    m_metrics.counter("toucandeck_slot_seconds_total", "Time for which calls occupied slots, by origin", { { "origin", name } })
        .Increment(std::chrono::duration<double>(slotTime).count());
}

} // namespace Toucandeck
