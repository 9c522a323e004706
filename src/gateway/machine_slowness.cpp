#include "gateway/machine_slowness.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kReportAge{ 400 }; ///< An older report says little about the current slowness.
constexpr std::chrono::seconds kMeanTimeConstant{ 6 }; ///< Time constant of the exponential mean.
/// Bounds of the result, so that a backend server with wrong reports still receives calls.
constexpr double kMinRelative = 0.3;
constexpr double kMaxRelative = 4;

} // namespace

void MachineSlowness::report(double percent, TimePoint now)
{
    if (percent <= 0) {
        return;
    }
    if (m_latest == 0) {
        m_mean = percent;
    } else {
        const auto time = std::min<Duration>(now - m_reportedAt, kReportAge);
        const double weight = 1 - std::exp(-std::chrono::duration<double>(time) / std::chrono::duration<double>(kMeanTimeConstant));
        m_mean += (m_latest - m_mean) * weight; // The previous report applied until now.
    }
    m_latest = percent;
    m_reportedAt = now;
}

double MachineSlowness::relative(TimePoint now) const
{
    if (m_latest == 0 || now - m_reportedAt > kReportAge) {
        return 1;
    }
    return std::clamp(m_latest / m_mean, kMinRelative, kMaxRelative);
}

} // namespace Toucandeck
