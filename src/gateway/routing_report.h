#pragma once

#include "gateway/call_router.h"
#include "log/logger.h"
#include "runtime/metrics.h"

namespace Toucandeck
{

/// Writes the selections of a call router to the log and the metrics.
class RoutingReport
{
public:
    RoutingReport(Logger &logger, Metrics &metrics);

    /// Logs a line if gateways were selected since the previous report, and adds them to the metrics.
    void write(const CallRouter &router);

private:
    Logger &m_logger;
    Metrics &m_metrics;
    RoutingCounters m_reported;
};

} // namespace Toucandeck
