#pragma once

#include "common/time.h"

namespace Toucandeck
{

/// How long work takes at a backend server at this moment, compared with the usual, from what its answers report. Machines are shared
/// with others, so this changes several times a second.
class MachineSlowness
{
public:
    /// @param percent as reported; only its ratio to other reports counts.
    void report(double percent, TimePoint now);

    /// 1 is as usual; also when the latest report is too old to tell.
    double relative(TimePoint now) const;

private:
    double m_latest = 0; ///< Zero before the first report.
    double m_mean = 0; ///< Over time.
    TimePoint m_reportedAt;
};

} // namespace Toucandeck
