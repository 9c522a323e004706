#include "gateway/server_speed.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

constexpr std::uint32_t kMinCalls = 5; ///< Recorded calls below which the speed is unknown.
/// Number of calls at the speed 1 that are added to the recorded ones. A few calls then give no extreme speed, and a backend server that
/// gets hardly any calls returns to the speed 1 instead of keeping a low one.
constexpr double kPriorCalls = 8;
/// A call counts for at most this multiple of its usual work, so that one stuck call is not taken for a slow machine.
constexpr double kMaxWorkRatio = 16;
constexpr double kMinSpeed = 0.25;
constexpr double kMaxSpeed = 4;
constexpr double kPermille = 1000;

} // namespace

ServerSpeed::ServerSpeed(Duration timeConstant)
    : m_timeConstant(timeConstant)
{
}

void ServerSpeed::record(Duration work, Duration usualWork, TimePoint now)
{
    const std::chrono::duration<double> usual = usualWork;
    const std::chrono::duration<double> own = work;
    const double kept = weight(now);
    m_usualSeconds = m_usualSeconds * kept + usual.count();
    m_workSeconds = m_workSeconds * kept + std::min(own, usual * kMaxWorkRatio).count();
    m_calls = m_calls * kept + 1;
    m_recordedAt = now;
    m_recorded = std::min(m_recorded + 1, kMinCalls);
}

double ServerSpeed::weight(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_recordedAt;
    return std::exp(-age / std::chrono::duration<double>(m_timeConstant));
}

double ServerSpeed::relative(TimePoint now) const
{
    if (m_recorded < kMinCalls) {
        return 0;
    }
    const double prior = kPriorCalls * m_usualSeconds / m_calls;
    const double kept = weight(now);
    return std::clamp((m_usualSeconds * kept + prior) / (m_workSeconds * kept + prior), kMinSpeed, kMaxSpeed);
}

std::uint32_t ServerSpeed::permille(TimePoint now) const
{
    return static_cast<std::uint32_t>(std::lround(relative(now) * kPermille));
}

void ServerSpeed::reset()
{
    *this = ServerSpeed(m_timeConstant);
}

} // namespace Toucandeck
