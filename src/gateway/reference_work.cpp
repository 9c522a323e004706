#include "gateway/reference_work.h"

#include "gateway/service_times.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::seconds kTimeConstant{ 4 };
/// Rare kinds keep about this many calls, over a longer time: the mean of fewer calls is no reference.
constexpr double kKeptCalls = 100;
constexpr double kMinCalls = 25; ///< The mean of fewer calls is mostly that of a few backend servers.

} // namespace

void ReferenceWork::record(const Call &call, Duration work, TimePoint now)
{
    auto &it = m_sums[{ call.service, kindOf(call) }];
    const std::chrono::duration<double> age = now - it.recordedAt;
    const double kept = std::max(std::exp(-age / std::chrono::duration<double>(kTimeConstant)), 1 - 1 / kKeptCalls);
    it.workSeconds = it.workSeconds * kept + std::chrono::duration<double>(work).count();
    it.calls = it.calls * kept + 1;
    it.recordedAt = now;
}

std::optional<Duration> ReferenceWork::usual(const Call &call) const
{
    const auto found = m_sums.find({ call.service, kindOf(call) });
    if (found == m_sums.end() || found->second.calls < kMinCalls) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(found->second.workSeconds / found->second.calls));
}

void ReferenceWork::retain(const std::function<bool(const std::string &service)> &isKnown)
{
    std::erase_if(m_sums, [&isKnown](const auto &it) { return !isKnown(it.first.first); });
}

std::size_t ReferenceWork::size() const
{
    return m_sums.size();
}

} // namespace Toucandeck
