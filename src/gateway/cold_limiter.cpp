#include "gateway/cold_limiter.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kWindow{ 1100 }; ///< A little over the second in which requests count at the backend server.
constexpr double kSpread = 0.7; ///< Least distance of two requests, as a share of the mean distance.

} // namespace

void ColdLimiter::setRate(double perSecond)
{
    m_perSecond = perSecond;
}

void ColdLimiter::forget(TimePoint now)
{
    while (!m_sent.empty() && now - m_sent.front() >= kWindow) {
        m_sent.pop_front();
    }
}

TimePoint ColdLimiter::nextAt(TimePoint now) const
{
    if (m_perSecond <= 0 || m_sent.empty()) {
        return now;
    }
    const auto distance = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kSpread / m_perSecond));
    auto at = std::max(now, m_sent.back() + distance);
    const auto most = static_cast<std::size_t>(std::max(1.0, m_perSecond));
    if (m_sent.size() >= most) {
        at = std::max(at, m_sent[m_sent.size() - most] + kWindow);
    }
    return at;
}

bool ColdLimiter::take(TimePoint now)
{
    forget(now);
    if (nextAt(now) > now) {
        return false;
    }
    m_sent.push_back(now);
    return true;
}

void ColdLimiter::count(TimePoint now)
{
    forget(now);
    m_sent.push_back(now);
}

} // namespace Toucandeck
