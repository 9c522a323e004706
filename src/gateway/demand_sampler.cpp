#include "gateway/demand_sampler.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::seconds kWindow{ 2 };
constexpr std::chrono::milliseconds kMinObservationTime{ 1000 }; ///< A shorter observation is too unreliable.
constexpr std::size_t kQuantiles = 32;
/// A surge is detected over this time; the whole window would average it out until it is old.
constexpr std::chrono::milliseconds kSurgeWindow{ 500 };
constexpr double kSurgeRatio = 2; ///< Minimum ratio of the rate in the surge window to the rate in the whole window.
constexpr std::size_t kMinSurgeRequests = 20; ///< In the surge window; fewer may be random variation.

} // namespace

void DemandSampler::record(std::uint32_t key, TimePoint now)
{
    if (m_samples.empty()) {
        m_firstSampleTime = now;
    }
    m_samples.push_back({ key, now });
    dropExpired(now);
}

void DemandSampler::dropExpired(TimePoint now)
{
    while (!m_samples.empty() && now - m_samples.front().at > kWindow) {
        m_samples.pop_front();
    }
}

DemandSampler::Samples::const_iterator DemandSampler::surgeBegin(TimePoint now) const
{
    const auto from = now - kSurgeWindow;
    return std::lower_bound(m_samples.begin(), m_samples.end(), from, [](const Sample &it, TimePoint at) { return it.at < at; });
}

bool DemandSampler::hasSurge(TimePoint now) const
{
    const auto recent = static_cast<std::size_t>(m_samples.end() - surgeBegin(now));
    if (recent < kMinSurgeRequests || now - m_firstSampleTime < 2 * kSurgeWindow) {
        return false;
    }
    const double share = static_cast<double>(recent) / static_cast<double>(m_samples.size());
    const auto window = std::min<Duration>(now - m_firstSampleTime, kWindow);
    return share > kSurgeRatio * std::chrono::duration<double>(kSurgeWindow) / std::chrono::duration<double>(window);
}

double DemandSampler::rate(TimePoint now)
{
    dropExpired(now);
    if (hasSurge(now)) {
        return static_cast<double>(m_samples.end() - surgeBegin(now)) / std::chrono::duration<double>(kSurgeWindow).count();
    }
    const auto time = std::clamp<Duration>(now - m_firstSampleTime, kMinObservationTime, kWindow);
    return static_cast<double>(m_samples.size()) / std::chrono::duration<double>(time).count();
}

std::vector<std::uint32_t> DemandSampler::quantileKeys(TimePoint now)
{
    dropExpired(now);
    if (now - m_firstSampleTime < kMinObservationTime) {
        return {};
    }
    std::vector<std::uint32_t> keys;
    keys.reserve(m_samples.size());
    for (auto it = hasSurge(now) ? surgeBegin(now) : m_samples.cbegin(); it != m_samples.cend(); ++it) {
        keys.push_back(it->key);
    }
    std::sort(keys.begin(), keys.end());
    const auto n = std::min(kQuantiles, keys.size());
    std::vector<std::uint32_t> quantiles;
    for (std::size_t i = 0; i < n; ++i) {
        quantiles.push_back(keys[(2 * i + 1) * keys.size() / (2 * n)]);
    }
    return quantiles;
}

void DemandSampler::clear()
{
    m_samples.clear();
}

} // namespace Toucandeck
