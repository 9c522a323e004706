#include "gateway/late_share.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

/// A lower share refuses calls that get slots after a peak, a higher one holds calls until their deadline.
constexpr double kHighestShare = 0.35;
constexpr double kLowestShare = 0.05; ///< Arrivals vary, so that a slot is free now and then even in an overload.
constexpr std::chrono::duration<double> kTimeConstant{ 8 }; ///< Peaks of demand last some seconds.

} // namespace

double LateShare::decayed(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_updatedAt;
    return m_share * std::exp(-age / kTimeConstant);
}

void LateShare::recordFreeSlot(TimePoint now)
{
    m_share = kHighestShare;
    m_updatedAt = now;
}

void LateShare::recordStart(Duration serviceTime, double slots, TimePoint now)
{
    const double added = std::chrono::duration<double>(serviceTime) / kTimeConstant / slots;
    m_share = std::min(kHighestShare, decayed(now) + added);
    m_updatedAt = now;
}

double LateShare::at(TimePoint now) const
{
    return std::max(kLowestShare, decayed(now));
}

} // namespace Toucandeck
