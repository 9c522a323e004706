#include "gateway/work_times.h"

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kFirstGuess{ 80 };
constexpr double kSmoothing = 0.08; ///< Weight of the latest call.
/// The mean tells the speed of the backend server, beyond the changes from one moment to the next.
constexpr double kMeanSmoothing = 0.02;

Duration smoothed(Duration old, Duration latest, double weight)
{
    if (old == Duration::zero()) {
        return latest;
    }
    return std::chrono::duration_cast<Duration>(old * (1 - weight) + latest * weight);
}

} // namespace

std::uint32_t WorkTimes::classOf(const Call &call)
{
    return call.rank * 2 + (call.nested ? 1 : 0);
}

void WorkTimes::record(const Call &call, Duration work)
{
    auto &it = m_byClass[classOf(call)];
    it = smoothed(it, work, kSmoothing);
    m_mean = smoothed(m_mean, work, kMeanSmoothing);
}

Duration WorkTimes::expected(const Call &call) const
{
    const auto it = m_byClass.find(classOf(call));
    if (it != m_byClass.end()) {
        return it->second;
    }
    return m_mean == Duration::zero() ? kFirstGuess : m_mean;
}

Duration WorkTimes::mean() const
{
    return m_mean;
}

} // namespace Toucandeck
