#include "gateway/demand_sampler.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::seconds kWindow{ 2 };
constexpr std::chrono::milliseconds kLeastTime{ 1000 }; ///< Demand over less time says little.
constexpr std::size_t kPoints = 32;

} // namespace

void DemandSampler::record(std::uint32_t key, TimePoint now)
{
    if (m_samples.empty()) {
        m_since = now;
    }
    m_samples.push_back({ key, now });
    forget(now);
}

void DemandSampler::forget(TimePoint now)
{
    while (!m_samples.empty() && now - m_samples.front().at > kWindow) {
        m_samples.pop_front();
    }
}

double DemandSampler::rate(TimePoint now)
{
    forget(now);
    const auto time = std::clamp<Duration>(now - m_since, kLeastTime, kWindow);
    return static_cast<double>(m_samples.size()) / std::chrono::duration<double>(time).count();
}

std::vector<std::uint32_t> DemandSampler::points(TimePoint now)
{
    forget(now);
    if (now - m_since < kLeastTime) {
        return {};
    }
    std::vector<std::uint32_t> keys;
    keys.reserve(m_samples.size());
    for (const auto &it : m_samples) {
        keys.push_back(it.key);
    }
    std::sort(keys.begin(), keys.end());
    const auto n = std::min(kPoints, keys.size());
    std::vector<std::uint32_t> points;
    for (std::size_t i = 0; i < n; ++i) {
        points.push_back(keys[(2 * i + 1) * keys.size() / (2 * n)]);
    }
    return points;
}

void DemandSampler::clear()
{
    m_samples.clear();
}

} // namespace Toucandeck
