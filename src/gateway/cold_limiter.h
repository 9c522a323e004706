#pragma once

#include "common/time.h"

#include <deque>

namespace Toucandeck
{

/// Bounds the requests that a cold backend server receives in any second, evenly spread.
class ColdLimiter
{
public:
    /// @param perSecond that it bears; zero is unlimited.
    void setRate(double perSecond);

    /// True if a request may be sent now; it then counts.
    bool take(TimePoint now);

    /// When take() can succeed next.
    TimePoint nextAt(TimePoint now) const;

    /// Counts a request that was sent without take(), before the backend server was known to be cold.
    void count(TimePoint now);

private:
    void forget(TimePoint now);

    double m_perSecond = 0;
    std::deque<TimePoint> m_sent; ///< Within the last window.
};

} // namespace Toucandeck
