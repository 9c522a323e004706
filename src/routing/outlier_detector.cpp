#include "routing/outlier_detector.h"

#include "routing/events.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

Duration medianOf(std::vector<Duration> values)
{
    if (values.empty()) {
        return Duration::zero();
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

bool exceeds(Duration latency, double factor, Duration reference)
{
    return static_cast<double>(latency.count()) > factor * static_cast<double>(reference.count());
}

} // namespace

void NoOutlierDetection::setInstances(std::span<const std::uint64_t> /*instances*/)
{
}

void NoOutlierDetection::record(std::uint64_t /*instance*/, Duration /*latency*/, bool /*ok*/)
{
}

bool NoOutlierDetection::isOnProbation(std::uint64_t /*instance*/) const
{
    return false;
}

std::optional<std::uint64_t> NoOutlierDetection::takeProbe()
{
    return std::nullopt;
}

OutlierDetector::OutlierDetector(const Clock &clock, Logger &logger, OutlierOptions options)
    : m_clock(clock)
    , m_logger(logger)
    , m_options(options)
{
    TOUCANDECK_ASSERT(options.recentAnswers > 0 && options.maxProbationShare < 1, "some instances are never on probation");
}

void OutlierDetector::setInstances(std::span<const std::uint64_t> instances)
{
    std::map<std::uint64_t, Instance> kept;
    for (const auto it : instances) {
        kept[it] = std::move(m_instances[it]);
    }
    m_instances = std::move(kept);
    // With fewer instances fewer may be on probation; those with the lowest ids leave it.
    for (auto &[id, instance] : m_instances) {
        if (probationCount() <= maxOnProbation()) {
            break;
        }
        instance.onProbation = false;
    }
}

std::size_t OutlierDetector::maxOnProbation() const
{
    return static_cast<std::size_t>(static_cast<double>(m_instances.size()) * m_options.maxProbationShare);
}

std::size_t OutlierDetector::probationCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_instances.begin(), m_instances.end(), [](const auto &it) { return it.second.onProbation; }));
}

void OutlierDetector::record(std::uint64_t instance, Duration latency, bool ok)
{
    const auto it = m_instances.find(instance);
    if (it == m_instances.end()) {
        return; // the instance left while the request was in flight
    }
    auto &known = it->second;
    if (known.onProbation) {
        evaluateProbe(instance, known, latency, ok);
        return;
    }
    known.consecutiveFailures = ok ? 0 : known.consecutiveFailures + 1;
    if (ok) {
        addLatency(known, latency);
    }
    if (known.consecutiveFailures >= m_options.failureThreshold) {
        putOnProbation(instance, known, "failures");
    } else if (ok && isSlow(instance, known)) {
        putOnProbation(instance, known, "latency");
    }
}

void OutlierDetector::addLatency(Instance &instance, Duration latency) const
{
    if (instance.latencies.size() < m_options.recentAnswers) {
        instance.latencies.push_back(latency);
    } else {
        instance.latencies[instance.nextIndex] = latency;
        instance.nextIndex = (instance.nextIndex + 1) % instance.latencies.size();
    }
    instance.median = medianOf(instance.latencies);
}

Duration OutlierDetector::peerMedian(std::uint64_t instance) const
{
    std::vector<Duration> medians;
    for (const auto &[id, it] : m_instances) {
        if (id != instance && !it.onProbation && it.latencies.size() == m_options.recentAnswers) {
            medians.push_back(it.median);
        }
    }
    return medianOf(std::move(medians));
}

bool OutlierDetector::isSlow(std::uint64_t id, const Instance &instance) const
{
    if (instance.latencies.size() < m_options.recentAnswers) {
        return false;
    }
    const auto peers = peerMedian(id);
    return peers > Duration::zero() && exceeds(instance.median, m_options.slowFactor, peers);
}

void OutlierDetector::putOnProbation(std::uint64_t id, Instance &instance, const char *reason)
{
    if (probationCount() >= maxOnProbation()) {
        return;
    }
    instance.onProbation = true;
    instance.successfulProbes = 0;
    instance.nextProbeTime = m_clock.now() + m_options.probeInterval;
    TOUCANDECK_ASSERT(probationCount() <= maxOnProbation(), "the number of instances on probation is bounded");
    m_logger.write(Events::kProbationStarted, { field("instance", id), field("reason", reason) });
}

void OutlierDetector::evaluateProbe(std::uint64_t id, Instance &instance, Duration latency, bool ok)
{
    const auto peers = peerMedian(id);
    const bool good = ok && (peers == Duration::zero() || !exceeds(latency, m_options.healthyFactor, peers));
    instance.successfulProbes = good ? instance.successfulProbes + 1 : 0;
    if (instance.successfulProbes < m_options.probesToRecover) {
        return;
    }
    instance = Instance{};
    m_logger.write(Events::kProbationEnded, { field("instance", id) });
}

bool OutlierDetector::isOnProbation(std::uint64_t instance) const
{
    const auto it = m_instances.find(instance);
    return it != m_instances.end() && it->second.onProbation;
}

std::optional<std::uint64_t> OutlierDetector::takeProbe()
{
    const auto now = m_clock.now();
    for (auto &[id, instance] : m_instances) {
        if (instance.onProbation && now >= instance.nextProbeTime) {
            instance.nextProbeTime = now + m_options.probeInterval;
            return id;
        }
    }
    return std::nullopt;
}

} // namespace Toucandeck
