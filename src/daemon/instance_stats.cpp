#include "daemon/instance_stats.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

/// Window of the recent latency. Older replies say little about the current state of an instance.
constexpr Duration kLatencyWindow = std::chrono::seconds(2);

} // namespace

InstanceStats::InstanceStats(const Clock &clock, Logger &logger)
    : m_clock(clock)
    , m_logger(logger)
{
}

std::vector<Candidate> InstanceStats::candidates(const View &view, const std::string &service, const std::string &ownDomain)
{
    std::vector<Candidate> candidates;
    std::vector<std::uint64_t> ids;
    const auto now = m_clock.now();
    const auto wallNow = m_clock.wallNow();
    auto &detector = outliers(service);
    for (const auto &it : view.instancesOf(service)) {
        if (!it.session->backend_ready()) {
            continue;
        }
        auto &stats = instance(it.id);
        Candidate candidate;
        candidate.instance = it.id.value;
        candidate.weight = it.row.weight;
        candidate.sameDomain = it.session->failure_domain() == ownDomain;
        candidate.serving = it.row.stateAt(wallNow) == wire::SERVING;
        candidate.onProbation = detector.isOnProbation(it.id.value);
        candidate.inFlight = stats.inFlight;
        candidate.recentLatency = stats.latency.quantile(0.5);
        candidate.report = stats.report;
        if (candidate.report) {
            candidate.report->age = now - stats.reportTime;
        }
        candidates.push_back(candidate);
        ids.push_back(it.id.value);
    }
    detector.setInstances(ids);
    return candidates;
}

void InstanceStats::onAttemptSent(SessionId id)
{
    ++instance(id).inFlight;
}

void InstanceStats::onAttemptFinished(const std::string &service, SessionId id, Duration latency, bool ok, std::optional<LoadReport> report)
{
    auto &stats = instance(id);
    stats.inFlight -= std::min(stats.inFlight, 1U);
    if (ok) {
        stats.latency.record(latency);
    }
    if (report) {
        stats.report = report;
        stats.reportTime = m_clock.now();
    }
    outliers(service).record(id.value, latency, ok);
}

void InstanceStats::prune(const View &view)
{
    std::erase_if(m_instances, [&view](const auto &it) { return it.second.inFlight == 0 && view.session(it.first) == nullptr; });
}

std::optional<std::uint64_t> InstanceStats::takeProbe(const std::string &service)
{
    return outliers(service).takeProbe();
}

InstanceStats::Instance &InstanceStats::instance(SessionId id)
{
    const auto it = m_instances.find(id);
    if (it != m_instances.end()) {
        return it->second;
    }
    return m_instances.emplace(id, Instance{ 0, LatencyWindow(m_clock, kLatencyWindow), {}, {} }).first->second;
}

OutlierDetector &InstanceStats::outliers(const std::string &service)
{
    return m_outliers.try_emplace(service, m_clock, m_logger).first->second;
}

} // namespace Toucandeck
