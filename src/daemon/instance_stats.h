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

/// What this router knows about the instances of the services from its own requests and their answers.
class InstanceStats
{
public:
    InstanceStats(const Clock &clock, Logger &logger);

    /// Instances of the service that have a backend server, as candidates for a choice.
    std::vector<Candidate> candidates(const View &view, const std::string &service, const std::string &ownDomain);

    void sent(SessionId id);
    /// @param ok false if the attempt failed or was shed. @param report nothing if there was no reply.
    void ended(const std::string &service, SessionId id, Duration latency, bool ok, std::optional<LoadReport> report);

    /// Forgets sessions that are no longer in the view.
    void prune(const View &view);

    /// An instance on probation that is due for a probe.
    std::optional<std::uint64_t> takeProbe(const std::string &service);

private:
    struct Instance
    {
        unsigned inFlight = 0;
        LatencyWindow latency;
        std::optional<LoadReport> report;
        TimePoint reported;
    };

    Instance &instance(SessionId id);
    OutlierDetector &outliers(const std::string &service);

    const Clock &m_clock;
    Logger &m_logger;
    std::map<SessionId, Instance> m_instances;
    std::map<std::string, OutlierDetector> m_outliers;
};

} // namespace Toucandeck
