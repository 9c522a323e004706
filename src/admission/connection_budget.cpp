#include "admission/connection_budget.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

ConnectionBudget::ConnectionBudget(Duration spacing)
    : m_spacing(spacing)
{
}

void ConnectionBudget::setMaximum(unsigned connections)
{
    m_maximum = connections;
}

std::optional<bool> ConnectionBudget::acquire(TimePoint now)
{
    if (m_idle > surplus()) {
        --m_idle;
        return false;
    }
    const auto opening = nextOpening();
    if (m_idle > 0 || !opening || now < *opening) {
        return std::nullopt;
    }
    ++m_open;
    m_lastOpening = now;
    TOUCANDECK_ASSERT(m_open <= m_maximum, "a connection is opened only below the limit");
    return true;
}

void ConnectionBudget::release(bool kept)
{
    TOUCANDECK_ASSERT(m_open > m_idle, "a released connection was in use");
    if (kept) {
        ++m_idle;
    } else {
        --m_open;
    }
}

void ConnectionBudget::idleClosed()
{
    TOUCANDECK_ASSERT(m_idle > 0, "a closed idle connection was idle");
    --m_idle;
    --m_open;
}

unsigned ConnectionBudget::open() const
{
    return m_open;
}

unsigned ConnectionBudget::idle() const
{
    return m_idle;
}

unsigned ConnectionBudget::surplus() const
{
    return m_open > m_maximum ? std::min(m_idle, m_open - m_maximum) : 0;
}

std::optional<TimePoint> ConnectionBudget::nextOpening() const
{
    if (m_open >= m_maximum) {
        return std::nullopt;
    }
    return m_lastOpening ? *m_lastOpening + m_spacing : TimePoint::min();
}

} // namespace Toucandeck
