#include "gateway/parent_times.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr double kSmoothing = 0.1; ///< Weight of the latest request in the mean.
constexpr std::size_t kMaxIndex = 7; ///< Later calls of a request count as this one.
constexpr std::size_t kMaxEntries = 4096; ///< Bounds the memory.
constexpr int kMaxShareDivisor = 3;

} // namespace

void ParentTimes::record(const std::string &kind, std::size_t index, Duration remaining)
{
    const std::pair key(kind, std::min(index, kMaxIndex));
    const auto found = m_means.find(key);
    if (found != m_means.end()) {
        found->second += std::chrono::duration_cast<Duration>((remaining - found->second) * kSmoothing);
    } else if (m_means.size() < kMaxEntries) {
        m_means.emplace(key, remaining);
    }
}

Duration ParentTimes::reserve(const std::string &kind, std::size_t index, Duration left) const
{
    const auto found = m_means.find({ kind, std::min(index, kMaxIndex) });
    if (found == m_means.end() || left <= Duration::zero()) {
        return {};
    }
    return std::min(found->second, left / kMaxShareDivisor);
}

void ParentTimes::retain(const std::function<bool(const std::string &kind)> &isKnown)
{
    std::erase_if(m_means, [&isKnown](const auto &it) { return !isKnown(it.first.first); });
}

std::size_t ParentTimes::size() const
{
    return m_means.size();
}

} // namespace Toucandeck
