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
    TOUCANDECK_ASSERT(options.recentAnswers > 0 && options.largestShare < 1, "some instances always get work");
}

void OutlierDetector::setInstances(std::span<const std::uint64_t> instances)
{
    std::map<std::uint64_t, Instance> kept;
    for (const auto it : instances) {
        kept[it] = std::move(m_instances[it]);
    }
    m_instances = std::move(kept);
    // With fewer instances fewer may be on probation; the ones with the lowest ids get work again.
    for (auto &[id, instance] : m_instances) {
        if (onProbation() <= largestNumber()) {
            break;
        }
        instance.probation = false;
    }
}

std::size_t OutlierDetector::largestNumber() const
{
    return static_cast<std::size_t>(static_cast<double>(m_instances.size()) * m_options.largestShare);
}

std::size_t OutlierDetector::onProbation() const
{
    return static_cast<std::size_t>(
        std::count_if(m_instances.begin(), m_instances.end(), [](const auto &it) { return it.second.probation; }));
}

void OutlierDetector::record(std::uint64_t instance, Duration latency, bool ok)
{
    const auto it = m_instances.find(instance);
    if (it == m_instances.end()) {
        return; // the instance left while the request was in flight
    }
    auto &known = it->second;
    if (known.probation) {
        judgeProbe(instance, known, latency, ok);
        return;
    }
    known.failures = ok ? 0 : known.failures + 1;
    if (ok) {
        addLatency(known, latency);
    }
    if (known.failures >= m_options.failures) {
        putOnProbation(instance, known, "failures");
    } else if (ok && isSlow(instance, known)) {
        putOnProbation(instance, known, "latency");
    }
}

void OutlierDetector::addLatency(Instance &instance, Duration latency) const
{
    if (instance.recent.size() < m_options.recentAnswers) {
        instance.recent.push_back(latency);
    } else {
        instance.recent[instance.next] = latency;
        instance.next = (instance.next + 1) % instance.recent.size();
    }
    instance.median = medianOf(instance.recent);
}

Duration OutlierDetector::peerMedian(std::uint64_t instance) const
{
    std::vector<Duration> medians;
    for (const auto &[id, it] : m_instances) {
        if (id != instance && !it.probation && it.recent.size() == m_options.recentAnswers) {
            medians.push_back(it.median);
        }
    }
    return medianOf(std::move(medians));
}

bool OutlierDetector::isSlow(std::uint64_t id, const Instance &instance) const
{
    if (instance.recent.size() < m_options.recentAnswers) {
        return false;
    }
    const auto peers = peerMedian(id);
    return peers > Duration::zero() && exceeds(instance.median, m_options.slowFactor, peers);
}

void OutlierDetector::putOnProbation(std::uint64_t id, Instance &instance, const char *reason)
{
    if (onProbation() >= largestNumber()) {
        return;
    }
    instance.probation = true;
    instance.goodProbes = 0;
    instance.nextProbe = m_clock.now() + m_options.probeInterval;
    TOUCANDECK_ASSERT(onProbation() <= largestNumber(), "only a part of the instances is on probation");
    m_logger.write(Events::kProbationStarted, { field("instance", id), field("reason", reason) });
}

void OutlierDetector::judgeProbe(std::uint64_t id, Instance &instance, Duration latency, bool ok)
{
    const auto peers = peerMedian(id);
    const bool good = ok && (peers == Duration::zero() || !exceeds(latency, m_options.healthyFactor, peers));
    instance.goodProbes = good ? instance.goodProbes + 1 : 0;
    if (instance.goodProbes < m_options.probesToReturn) {
        return;
    }
    instance = Instance{};
    m_logger.write(Events::kProbationEnded, { field("instance", id) });
}

bool OutlierDetector::isOnProbation(std::uint64_t instance) const
{
    const auto it = m_instances.find(instance);
    return it != m_instances.end() && it->second.probation;
}

std::optional<std::uint64_t> OutlierDetector::takeProbe()
{
    const auto now = m_clock.now();
    for (auto &[id, instance] : m_instances) {
        if (instance.probation && now >= instance.nextProbe) {
            instance.nextProbe = now + m_options.probeInterval;
            return id;
        }
    }
    return std::nullopt;
}

} // namespace Toucandeck
