#pragma once

#include "common/time.h"

#include <optional>

namespace Toucandeck
{

/// Counts the connections to one backend server and limits the rate at which new ones are opened.
class ConnectionBudget
{
public:
    /// @param minInterval is the minimum time between opening two connections. A new one takes about 1 ms at the backend server.
    explicit ConnectionBudget(Duration minInterval);

    void setMaximum(unsigned connections);

    /// Takes an idle connection (false) or opens a new one (true); nothing if neither is possible now.
    std::optional<bool> acquire(TimePoint now);

    /// Returns a connection that acquire() provided. If @p kept it becomes idle, otherwise it has been closed.
    void release(bool kept);

    /// Handles the closing of an idle connection.
    void onIdleConnectionClosed();

    unsigned openCount() const;
    unsigned idleCount() const;

    /// Number of idle connections to close because the maximum is exceeded.
    unsigned surplusCount() const;

    /// Earliest time to open the next connection; nothing while the maximum is reached.
    std::optional<TimePoint> nextOpenTime() const;

private:
    Duration m_minInterval;
    unsigned m_maximum = 0;
    unsigned m_openCount = 0;
    unsigned m_idleCount = 0;
    std::optional<TimePoint> m_lastOpenTime;
};

} // namespace Toucandeck
