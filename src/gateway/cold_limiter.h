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

    /// Records a request and returns true if one may be sent now.
    bool tryAcquire(TimePoint now);

    /// Earliest time at which tryAcquire() succeeds.
    TimePoint nextSendTime(TimePoint now) const;

    /// Records a request that is sent without tryAcquire(), also while the backend server is not known to be cold.
    void record(TimePoint now);

private:
    void dropExpired(TimePoint now);

    double m_perSecond = 0;
    std::deque<TimePoint> m_sent; ///< Send times within the last window, oldest first.
};

} // namespace Toucandeck
