#include "gateway/machine_slowness.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kReportAge{ 400 }; ///< An older report says little about the present.
constexpr std::chrono::seconds kMeanTime{ 6 }; ///< Over which the usual is averaged.
/// Bounds on what a report may say; a backend server that errs must not shut itself off.
constexpr double kLeastRelative = 0.3;
constexpr double kMostRelative = 4;

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
        const double weight = 1 - std::exp(-std::chrono::duration<double>(time) / std::chrono::duration<double>(kMeanTime));
        m_mean += (m_latest - m_mean) * weight; // The report before was in force until now.
    }
    m_latest = percent;
    m_reportedAt = now;
}

double MachineSlowness::relative(TimePoint now) const
{
    if (m_latest == 0 || now - m_reportedAt > kReportAge) {
        return 1;
    }
    return std::clamp(m_latest / m_mean, kLeastRelative, kMostRelative);
}

} // namespace Toucandeck
