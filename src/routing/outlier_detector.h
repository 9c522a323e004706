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

/// Strategy that finds instances which answer much worse than their peers.
class OutlierPolicy
{
public:
    virtual ~OutlierPolicy() = default;

    /// The instances of the service that serve; others are forgotten, so that no probe goes to one that is leaving or lost.
    virtual void setInstances(std::span<const std::uint64_t> instances) = 0;

    /// An attempt ended. @p ok is false if it failed or was shed; the latency of such an attempt is not used.
    virtual void record(std::uint64_t instance, Duration latency, bool ok) = 0;
    virtual bool isOnProbation(std::uint64_t instance) const = 0;

    /// An instance on probation that is due to get one request as a probe, which this call takes; nothing if none is due.
    /// Ask only for idempotent requests, which can be hedged while the probe is slow.
    virtual std::optional<std::uint64_t> takeProbe() = 0;
};

/// No probation: the naive strategy.
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
    double healthyFactor = 2; ///< A probe below this multiple is a success.
    unsigned failures = 5; ///< Consecutive failures that put an instance on probation.
    unsigned recentAnswers = 9; ///< Answers whose median is compared; odd.
    unsigned probesToReturn = 2; ///< Consecutive successful probes that end probation.
    Duration probeInterval = std::chrono::milliseconds(500); ///< Each probe of a straggler is a slow request.
    double largestShare = 0.34; ///< Of the instances on probation at once; the rest must carry the load.
};

/// Compares the recent median latency and failures of each instance with its peers'.
class OutlierDetector : public OutlierPolicy
{
public:
    OutlierDetector(const Clock &clock, Logger &logger, OutlierOptions options = {});

    void setInstances(std::span<const std::uint64_t> instances) override;
    void record(std::uint64_t instance, Duration latency, bool ok) override;
    bool isOnProbation(std::uint64_t instance) const override;
    std::optional<std::uint64_t> takeProbe() override;

    std::size_t onProbation() const;
    /// Most instances that may be on probation at once.
    std::size_t largestNumber() const;

private:
    struct Instance
    {
        std::vector<Duration> recent; ///< Ring of the last answers.
        std::size_t next = 0;
        Duration median{};
        unsigned failures = 0;
        bool probation = false;
        unsigned goodProbes = 0;
        TimePoint nextProbe;
    };

    void addLatency(Instance &instance, Duration latency) const;
    Duration peerMedian(std::uint64_t instance) const;
    void judgeProbe(std::uint64_t id, Instance &instance, Duration latency, bool ok);
    bool isSlow(std::uint64_t id, const Instance &instance) const;
    void putOnProbation(std::uint64_t id, Instance &instance, const char *reason);

    const Clock &m_clock;
    Logger &m_logger;
    OutlierOptions m_options;
    std::map<std::uint64_t, Instance> m_instances;
};

} // namespace Toucandeck
