#pragma once

#include "common/latency_window.h"
#include "log/logger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Toucandeck
{

/// Strategy that detects instances whose latency or failures are much worse than their peers'.
class OutlierPolicy
{
public:
    virtual ~OutlierPolicy() = default;

    /// Sets the serving instances of the service. Others are removed, so that no probe is sent to one that is leaving or lost.
    virtual void setInstances(std::span<const std::uint64_t> instances) = 0;

    /// Records the end of an attempt. @p ok is false if it failed or was shed; the latency of such an attempt is not used.
    virtual void record(std::uint64_t instance, Duration latency, bool ok) = 0;
    virtual bool isOnProbation(std::uint64_t instance) const = 0;

    /// Returns an instance on probation that is due for a probe and schedules its next one; nothing if none is due. The caller
    /// must send it one request. Call only for idempotent requests, which can be hedged while the probe is slow.
    virtual std::optional<std::uint64_t> takeProbe() = 0;
};

/// No probation; the baseline for comparisons.
class NoOutlierDetection : public OutlierPolicy
{
public:
    void setInstances(std::span<const std::uint64_t> instances) override;
    void record(std::uint64_t instance, Duration latency, bool ok) override;
    bool isOnProbation(std::uint64_t instance) const override;
    std::optional<std::uint64_t> takeProbe() override;
};

struct OutlierOptions
{
    double slowFactor = 3; ///< Median latency above this multiple of the peers' median puts an instance on probation.
    double healthyFactor = 2; ///< A probe succeeds with a latency up to this multiple of the peers' median.
    unsigned failureThreshold = 5; ///< Consecutive failures that put an instance on probation.
    unsigned recentAnswers = 9; ///< Number of recent answers whose median is compared; odd.
    unsigned probesToRecover = 2; ///< Consecutive successful probes that end probation.
    /// Time between probes of an instance; each probe of a straggler is a slow request.
    Duration probeInterval = std::chrono::milliseconds(500);
    double maxProbationShare = 0.34; ///< Maximum share of the instances on probation at once; the others must handle the load.
};

/// Compares the recent median latency of each instance with that of its peers and counts its consecutive failures.
class OutlierDetector : public OutlierPolicy
{
public:
    OutlierDetector(const Clock &clock, Logger &logger, OutlierOptions options = {});

    void setInstances(std::span<const std::uint64_t> instances) override;
    void record(std::uint64_t instance, Duration latency, bool ok) override;
    bool isOnProbation(std::uint64_t instance) const override;
    std::optional<std::uint64_t> takeProbe() override;

    std::size_t probationCount() const;
    /// Maximum number of instances on probation at once.
    std::size_t maxOnProbation() const;

private:
    struct Instance
    {
        std::vector<Duration> latencies; ///< Ring buffer of the latencies of recent answers.
        std::size_t nextIndex = 0;
        Duration median{};
        unsigned consecutiveFailures = 0;
        bool onProbation = false;
        unsigned successfulProbes = 0;
        TimePoint nextProbeTime;
    };

    void addLatency(Instance &instance, Duration latency) const;
    Duration peerMedian(std::uint64_t instance) const;
    void evaluateProbe(std::uint64_t id, Instance &instance, Duration latency, bool ok);
    bool isSlow(std::uint64_t id, const Instance &instance) const;
    void putOnProbation(std::uint64_t id, Instance &instance, const char *reason);

    const Clock &m_clock;
    Logger &m_logger;
    OutlierOptions m_options;
    std::map<std::uint64_t, Instance> m_instances;
};

} // namespace Toucandeck
