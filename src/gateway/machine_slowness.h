#pragma once

#include "common/time.h"

namespace Toucandeck
{

/// Current slowness of a backend server's machine relative to its mean, from the reports in its answers. Machines are shared with
/// others, so it changes several times a second.
class MachineSlowness
{
public:
    /// @param percent is the reported slowness; only its ratio to other reports is used. Zero is no report.
    void report(double percent, TimePoint now);

    /// Ratio of the latest report to the mean; 1 if the report is too old.
    double relative(TimePoint now) const;

private:
    double m_latest = 0; ///< Zero before the first report.
    double m_mean = 0; ///< Weighted by time.
    TimePoint m_reportedAt;
};

} // namespace Toucandeck
