#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <map>
#include <vector>

namespace Toucandeck::internal
{

/// Lease ends as the grantor counts them. Volatile.
class LeaseTable
{
public:
    /// Extends the lease after a renewal that was received at @p receivedAt; a lease never gets shorter.
    void renew(SessionId session, TimePoint receivedAt);

    /// The holder has promised to admit nothing any more.
    void endNow(SessionId session, TimePoint now);

    /// True if the lease has certainly ended on the holder's clock too. An unknown session has no lease.
    bool hasEnded(SessionId session, TimePoint now) const;

    /// End of the lease; the epoch of the clock for an unknown session.
    TimePoint end(SessionId session) const;

    std::vector<SessionId> endedBy(TimePoint now) const;
    void forget(SessionId session);
    void clear();

private:
    std::map<SessionId, TimePoint> m_ends;
};

} // namespace Toucandeck::internal
