#pragma once

#include "ownership/leader_context.h"

#include <deque>
#include <utility>

namespace Toucandeck::internal
{

/// Sends the deltas of the state to the routers, in order, and resends them to routers that report an old version.
class DeltaPublisher
{
public:
    explicit DeltaPublisher(LeaderContext &context);

    /// Records the digest of a version; call on followers too.
    void recordDigest(const wire::ViewDelta &delta);

    /// Sends the delta to every router to which all earlier ones were sent.
    void publish(const wire::ViewDelta &delta);

    /// Sends the deltas since @p version, or the full view for version 0 or one that is too old.
    void sendSince(SessionRecord &record, LogIndex version);

    /// Resends the deltas since @p version, the one reported, if the router should have reported a later version by now.
    void resendIfBehind(SessionRecord &record, LogIndex version);

    void sendFullView(SessionRecord &record);

    /// Returns false if the digest of @p version is known and differs from @p digest.
    bool digestMatches(LogIndex version, std::uint64_t digest) const;

private:
    LeaderContext &m_context;
    std::deque<std::pair<LogIndex, std::uint64_t>> m_digests;
};

} // namespace Toucandeck::internal
