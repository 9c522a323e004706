#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <map>
#include <vector>

namespace Toucandeck::internal
{

/// Grantor side of all leases: their ends on the grantor's clock. Kept in memory only.
class LeaseTable
{
public:
    /// Extends the lease after a renewal that was received at @p receivedAt; a lease never gets shorter.
    void renew(SessionId session, TimePoint receivedAt);

    /// Ends the lease by @p now, because the holder has confirmed that it no longer admits anything.
    void relinquish(SessionId session, TimePoint now);

    /// True if the lease is guaranteed to have expired on the holder's clock too. An unknown session has no lease.
    bool hasExpired(SessionId session, TimePoint now) const;

    /// End of the lease; the epoch of the clock for an unknown session.
    TimePoint end(SessionId session) const;

    std::vector<SessionId> expiredSessions(TimePoint now) const;
    void forget(SessionId session);
    void clear();

private:
    std::map<SessionId, TimePoint> m_ends;
};

} // namespace Toucandeck::internal
