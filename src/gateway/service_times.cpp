#include "gateway/service_times.h"

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kInitialEstimate{ 80 };
constexpr double kSmoothing = 0.08; ///< Weight of the latest call.
/// The mean represents the speed of the backend server over a longer time, without short-term changes.
constexpr double kMeanSmoothing = 0.02;

Duration smoothed(Duration old, Duration latest, double weight)
{
    if (old == Duration::zero()) {
        return latest;
    }
    return std::chrono::duration_cast<Duration>(old * (1 - weight) + latest * weight);
}

} // namespace

std::uint32_t kindOf(const Call &call)
{
    return call.rank * 2 + (call.nested ? 1 : 0);
}

void ServiceTimes::record(const Call &call, Duration serviceTime)
{
    auto &it = m_byKind[kindOf(call)];
    it = smoothed(it, serviceTime, kSmoothing);
    m_mean = smoothed(m_mean, serviceTime, kMeanSmoothing);
}

Duration ServiceTimes::expected(const Call &call, std::optional<Duration> reference) const
{
    const auto it = m_byKind.find(kindOf(call));
    if (it != m_byKind.end()) {
        return it->second;
    }
    if (reference) {
        return *reference;
    }
    return m_mean == Duration::zero() ? kInitialEstimate : m_mean;
}

Duration ServiceTimes::mean() const
{
    return m_mean;
}

void ServiceTimes::onIncarnationStarted()
{
    m_byKind.clear();
}

} // namespace Toucandeck
