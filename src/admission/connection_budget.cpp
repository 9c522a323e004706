#include "admission/connection_budget.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

ConnectionBudget::ConnectionBudget(Duration minInterval)
    : m_minInterval(minInterval)
{
}

void ConnectionBudget::setMaximum(unsigned connections)
{
    m_maximum = connections;
}

std::optional<bool> ConnectionBudget::acquire(TimePoint now)
{
    if (m_idleCount > surplusCount()) {
        --m_idleCount;
        return false;
    }
    const auto opening = nextOpenTime();
    if (m_idleCount > 0 || !opening || now < *opening) {
        return std::nullopt;
    }
    ++m_openCount;
    m_lastOpenTime = now;
    TOUCANDECK_ASSERT(m_openCount <= m_maximum, "a connection is opened only below the limit");
    return true;
}

void ConnectionBudget::release(bool kept)
{
    TOUCANDECK_ASSERT(m_openCount > m_idleCount, "a released connection was in use");
    if (kept) {
        ++m_idleCount;
    } else {
        --m_openCount;
    }
}

void ConnectionBudget::onIdleConnectionClosed()
{
    TOUCANDECK_ASSERT(m_idleCount > 0, "there is an idle connection to close");
    --m_idleCount;
    --m_openCount;
}

unsigned ConnectionBudget::openCount() const
{
    return m_openCount;
}

unsigned ConnectionBudget::idleCount() const
{
    return m_idleCount;
}

unsigned ConnectionBudget::surplusCount() const
{
    return m_openCount > m_maximum ? std::min(m_idleCount, m_openCount - m_maximum) : 0;
}

std::optional<TimePoint> ConnectionBudget::nextOpenTime() const
{
    if (m_openCount >= m_maximum) {
        return std::nullopt;
    }
    return m_lastOpenTime ? *m_lastOpenTime + m_minInterval : TimePoint::min();
}

} // namespace Toucandeck
