#include "gateway/routing_report.h"

#include "gateway/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Mean age of the reports used between two states of the counters; zero if none was used.
Duration meanReportAge(const RoutingCounters &counters, const RoutingCounters &before)
{
    const auto used = (counters.selections - counters.withoutReport) - (before.selections - before.withoutReport);
    return (counters.reportAges - before.reportAges) / static_cast<std::int64_t>(std::max<std::uint64_t>(1, used));
}

} // namespace

RoutingReport::RoutingReport(Logger &logger, Metrics &metrics)
    : m_logger(logger)
    , m_metrics(metrics)
{
}

void RoutingReport::write(const CallRouter &router)
{
    const auto &counters = router.counters();
    const auto before = std::exchange(m_reported, counters);
    const auto selections = counters.selections - before.selections;
    const auto withoutReport = counters.withoutReport - before.withoutReport;
    const auto redirected = counters.redirected - before.redirected;
    const auto transit = router.longestTransitTime();
    m_metrics.gauge("toucandeck_transit_seconds", "Longest recent time of a call and its reply on the links, over all gateways")
        .Set(std::chrono::duration<double>(transit).count());
    if (selections == 0 && redirected == 0) {
        return;
    }
    const auto age = meanReportAge(counters, before);
    m_logger.write(GatewayEvents::kRoutingReport,
                   { field("selections", selections),
                     field("without_report", withoutReport),
                     field("report_age_ms", duration_cast<milliseconds>(age).count()),
                     field("redirected", redirected),
                     field("transit_ms", duration_cast<milliseconds>(transit).count()) });
    m_metrics.counter("toucandeck_selections_total", "Gateways selected for calls that any backend server of a service can run", {})
        .Increment(static_cast<double>(selections));
    m_metrics.counter("toucandeck_selections_without_report_total", "Of these, selected without any load report", {})
        .Increment(static_cast<double>(withoutReport));
    m_metrics.counter("toucandeck_calls_redirected_total", "Calls that a gateway refused since another one is expected to be faster", {})
        .Increment(static_cast<double>(redirected));
    m_metrics.gauge("toucandeck_report_age_seconds", "Mean age of the load reports used for the latest selections")
        .Set(std::chrono::duration<double>(age).count());
}

} // namespace Toucandeck
