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

void LeaseTable::endNow(SessionId session, TimePoint now)
{
    const auto it = m_ends.find(session);
    if (it != m_ends.end()) {
        it->second = std::min(it->second, now);
    }
}

bool LeaseTable::hasEnded(SessionId session, TimePoint now) const
{
    return now >= end(session);
}

TimePoint LeaseTable::end(SessionId session) const
{
    const auto it = m_ends.find(session);
    return it == m_ends.end() ? TimePoint() : it->second;
}

std::vector<SessionId> LeaseTable::endedBy(TimePoint now) const
{
    std::vector<SessionId> ended;
    for (const auto &[session, end] : m_ends) {
        if (now >= end) {
            ended.push_back(session);
        }
    }
    return ended;
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
