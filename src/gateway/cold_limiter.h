#pragma once

#include "common/time.h"

#include <deque>

namespace Toucandeck
{

/// Rate limiter for a cold backend server: bounds the requests in any second and spreads them evenly.
class ColdLimiter
{
public:
    /// @param perSecond is the maximum rate in requests per second; zero is unlimited.
    void setRate(double perSecond);

    /// Earliest time at which a request may be sent, not before @p now.
    TimePoint nextSendTime(TimePoint now) const;

    /// Records a request that is sent now. Call it also while the backend server is not known to be cold.
    void record(TimePoint now);

private:
    void dropExpired(TimePoint now);

    double m_perSecond = 0;
    std::deque<TimePoint> m_sent; ///< Send times within the last window, oldest first.
};

} // namespace Toucandeck
