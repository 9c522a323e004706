#pragma once

#include "common/latency_window.h"
#include "routing/candidate.h"
#include "routing/outlier_detector.h"
#include "state/view.h"

#include <map>
#include <optional>
#include <vector>

namespace Toucandeck
{

/// Statistics about the instances of all services, collected from the requests of this router and their replies.
class InstanceStats
{
public:
    InstanceStats(const Clock &clock, Logger &logger);

    /// Candidates to serve a request: the instances of the service whose backend server is ready.
    std::vector<Candidate> candidates(const View &view, const std::string &service, const std::string &ownDomain);

    void onAttemptSent(SessionId id);
    /// @param ok false if the attempt failed or was shed.
    /// @param report load that the reply states; nothing if there was no reply.
    void onAttemptFinished(const std::string &service, SessionId id, Duration latency, bool ok, std::optional<LoadReport> report);

    /// Removes instances that are no longer in the view and have no attempt in flight.
    void prune(const View &view);

    /// Returns an instance on probation that is due for a probe; see OutlierPolicy::takeProbe().
    std::optional<std::uint64_t> takeProbe(const std::string &service);

private:
    struct Instance
    {
        unsigned inFlight = 0;
        LatencyWindow latency;
        std::optional<LoadReport> report;
        TimePoint reportTime;
    };

    Instance &instance(SessionId id);
    OutlierDetector &outliers(const std::string &service);

    const Clock &m_clock;
    Logger &m_logger;
    std::map<SessionId, Instance> m_instances;
    std::map<std::string, OutlierDetector> m_outliers;
};

} // namespace Toucandeck
