#include "ownership/lease_table.h"

#include "ownership/lease.h"

#include <algorithm>

namespace Toucandeck::internal
{

void LeaseTable::renew(SessionId session, TimePoint receivedAt)
{
    auto &end = m_ends[session];
    end = std::max(end, receivedAt + grantorLease(kLeaseTtl));
}

void LeaseTable::relinquish(SessionId session, TimePoint now)
{
    const auto it = m_ends.find(session);
    if (it != m_ends.end()) {
        it->second = std::min(it->second, now);
    }
}

bool LeaseTable::hasExpired(SessionId session, TimePoint now) const
{
    return now >= end(session);
}

TimePoint LeaseTable::end(SessionId session) const
{
    const auto it = m_ends.find(session);
    return it == m_ends.end() ? TimePoint() : it->second;
}

std::vector<SessionId> LeaseTable::expiredSessions(TimePoint now) const
{
    std::vector<SessionId> expired;
    for (const auto &[session, end] : m_ends) {
        if (now >= end) {
            expired.push_back(session);
        }
    }
    return expired;
}

void LeaseTable::forget(SessionId session)
{
    m_ends.erase(session);
}

void LeaseTable::clear()
{
    m_ends.clear();
}

} // namespace Toucandeck::internal
