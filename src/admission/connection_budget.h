#pragma once

#include "common/time.h"

#include <optional>

namespace Toucandeck
{

/// Counts the connections to one backend server and spaces the opening of new ones.
class ConnectionBudget
{
public:
    /// @param spacing is the least time between two openings. A new connection takes about 1 ms at today's backend servers.
    explicit ConnectionBudget(Duration spacing);

    void setMaximum(unsigned connections);

    /// Takes an idle connection or opens one: true for a new one, nothing if neither is possible now.
    std::optional<bool> acquire(TimePoint now);
    void release(bool kept);

    /// An idle connection was closed by the backend server.
    void idleClosed();

    unsigned open() const;
    unsigned idle() const;

    /// Idle connections above the maximum, which must be closed.
    unsigned surplus() const;

    /// When the next connection may be opened; nothing while the maximum forbids it.
    std::optional<TimePoint> nextOpening() const;

private:
    Duration m_spacing;
    unsigned m_maximum = 0;
    unsigned m_open = 0;
    unsigned m_idle = 0;
    std::optional<TimePoint> m_lastOpening;
};

} // namespace Toucandeck
