#pragma once

#include "ownership/leader_context.h"

#include <deque>
#include <utility>

namespace Toucandeck::internal
{

/// Sends the changes of the state to the routers, in order, and again to those that report an old version.
class DeltaPublisher
{
public:
    explicit DeltaPublisher(LeaderContext &context);

    /// Notes the digest of a version; to be called by followers too.
    void record(const wire::ViewDelta &delta);

    /// Sends the delta to every router that has been sent everything before it.
    void publish(const wire::ViewDelta &delta);

    /// Sends everything since @p version; the full view for version 0 or one that is too old.
    void sendSince(SessionRecord &record, LogIndex version);

    /// Sends again what the router should have reported by now.
    void resendIfBehind(SessionRecord &record, LogIndex version);

    void sendFull(SessionRecord &record);

    /// False if the digest is known not to belong to the version.
    bool matches(LogIndex version, std::uint64_t digest) const;

private:
    LeaderContext &m_context;
    std::deque<std::pair<LogIndex, std::uint64_t>> m_digests;
};

} // namespace Toucandeck::internal
