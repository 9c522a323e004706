#pragma once

#include "gateway/backend_admission.h"

#include "runtime/metrics.h"

namespace Toucandeck
{

/// Reports how the slots of a backend server are shared between calls of different origins. Unlike the log lines of single calls, which are
/// limited in number, a report covers all calls.
class AdmissionReport
{
public:
    AdmissionReport(Logger &logger, Metrics &metrics);

    /// Logs a line for each origin with calls since the previous report, and adds them to the metrics.
    void write(const BackendAdmission &admission);

private:
    void writeOrigin(const BackendAdmission &admission, CallOrigin origin);

    Logger &m_logger;
    Metrics &m_metrics;
    AdmissionTally m_reported; ///< Counts at the previous report.
};

} // namespace Toucandeck
