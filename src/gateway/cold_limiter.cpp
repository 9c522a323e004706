#include "gateway/cold_limiter.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kWindow{ 1100 }; ///< Slightly longer than the second over which a backend server counts requests.
constexpr double kSpread = 0.7; ///< Minimum interval between two requests, as a share of the mean interval.

} // namespace

void ColdLimiter::setRate(double perSecond)
{
    m_perSecond = perSecond;
}

void ColdLimiter::dropExpired(TimePoint now)
{
    while (!m_sent.empty() && now - m_sent.front() >= kWindow) {
        m_sent.pop_front();
    }
}

TimePoint ColdLimiter::nextSendTime(TimePoint now) const
{
    if (m_perSecond <= 0 || m_sent.empty()) {
        return now;
    }
    const auto distance = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kSpread / m_perSecond));
    auto at = std::max(now, m_sent.back() + distance);
    const auto maxRequests = static_cast<std::size_t>(std::max(1.0, m_perSecond));
    if (m_sent.size() >= maxRequests) {
        at = std::max(at, m_sent[m_sent.size() - maxRequests] + kWindow);
    }
    return at;
}

void ColdLimiter::record(TimePoint now)
{
    dropExpired(now);
    m_sent.push_back(now);
}

} // namespace Toucandeck
