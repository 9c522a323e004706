#include "gateway/demand_sampler.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::seconds kWindow{ 2 };
constexpr std::chrono::milliseconds kLeastTime{ 1000 }; ///< Demand over less time says little.
constexpr std::size_t kPoints = 32;
/// A surge shows over this time; the whole window would hide most of it until it is old.
constexpr std::chrono::milliseconds kSurgeWindow{ 500 };
constexpr double kSurgeRatio = 2; ///< Times the rate over the whole window.
constexpr std::size_t kSurgeLeast = 20; ///< Requests in the surge window; fewer may be chance.

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

DemandSampler::Samples::const_iterator DemandSampler::surgeBegin(TimePoint now) const
{
    const auto from = now - kSurgeWindow;
    return std::lower_bound(m_samples.begin(), m_samples.end(), from, [](const Sample &it, TimePoint at) { return it.at < at; });
}

bool DemandSampler::surges(TimePoint now) const
{
    const auto recent = static_cast<std::size_t>(m_samples.end() - surgeBegin(now));
    if (recent < kSurgeLeast || now - m_since < 2 * kSurgeWindow) {
        return false;
    }
    const double share = static_cast<double>(recent) / static_cast<double>(m_samples.size());
    const auto window = std::min<Duration>(now - m_since, kWindow);
    return share > kSurgeRatio * std::chrono::duration<double>(kSurgeWindow) / std::chrono::duration<double>(window);
}

double DemandSampler::rate(TimePoint now)
{
    forget(now);
    if (surges(now)) {
        return static_cast<double>(m_samples.end() - surgeBegin(now)) / std::chrono::duration<double>(kSurgeWindow).count();
    }
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
    for (auto it = surges(now) ? surgeBegin(now) : m_samples.cbegin(); it != m_samples.cend(); ++it) {
        keys.push_back(it->key);
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
