#pragma once

#include "common/time.h"

#include <map>

namespace Toucandeck
{

/// Work of refused calls whose clients are expected to repeat them.
///
/// Load pattern: an overload of some seconds in which clients obey Retry-After. If all were told the time until the present queue is
/// empty, they would come back together and be refused again.
class ReturningWork
{
public:
    /// @param at is when the client is expected to repeat the call.
    void record(TimePoint at, Duration work, TimePoint now);

    /// Work that is still expected to return.
    Duration pending(TimePoint now) const;

private:
    std::multimap<TimePoint, Duration> m_byTime;
    Duration m_total{};
};

} // namespace Toucandeck
