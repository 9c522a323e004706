#pragma once

#include "common/time.h"

namespace Toucandeck
{

/// What is known of the load of a backend server.
struct KnownLoad
{
    double reportedCalls = 0; ///< Running and waiting calls in the latest report, and the calls sent since.
    Duration age{}; ///< Of the report.
    double usualCalls = 0; ///< Mean number of running and waiting calls over some seconds.
    double ownCalls = 0; ///< Calls of this gateway without an answer.
    Duration serviceTime{}; ///< Mean service time.
};

/// Expected number of calls at a backend server now. It tends from the reported to the usual number, since the calls of a report are
/// replaced by others within about a service time. A server without a recent report therefore counts as usually busy, not as idle.
double expectedCalls(const KnownLoad &load);

/// Weight of a report of this age, from 1 for a new one to 0.
double reportWeight(Duration age, Duration timeConstant);

} // namespace Toucandeck
