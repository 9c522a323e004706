#pragma once

#include "gateway/call.h"

#include <cstddef>
#include <map>
#include <string>

namespace Toucandeck
{

/// Start-time fair queueing over the entry gateways of the calls that wait for a backend server, measured in expected work.
///
/// Load pattern: the clients of one entry send a burst. Its calls get tags further and further ahead of the virtual time, so that the calls
/// of other entries, whose tags are near the virtual time, are dispatched between them. Ranks and nested calls have separate virtual times.
class FairShares
{
public:
    /// Start tag of a call that is queued now, in work of its entry.
    Duration startTag(const Call &call) const;

    /// Charges a call that was queued with this tag to its entry.
    void charge(const Call &call, Duration startTag, Duration work);

    /// Advances the virtual time to the tag of a call that is dispatched.
    void recordDispatch(const Call &call, Duration startTag);

    /// Returns the charge for a call that leaves the queue without being dispatched. The tags of later calls of its entry decrease by @p
    /// work.
    void refund(const Call &call, Duration work);

    /// True if the calls have the same share.
    static bool sameShare(const Call &a, const Call &b);

private:
    struct Group
    {
        Duration virtualTime{};
        std::size_t waiting = 0;
        std::map<std::string, Duration> finishTags; ///< Of the latest call of each entry.
    };

    static std::uint32_t groupOf(const Call &call);
    void recordLeft(std::map<std::uint32_t, Group>::iterator group);

    std::map<std::uint32_t, Group> m_groups; ///< Without groups that have no waiting call.
};

} // namespace Toucandeck
