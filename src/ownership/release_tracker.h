#pragma once

#include "ownership/agent_listener.h"
#include "state/view.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::internal
{

/// Items with the receiver of their move.
struct ReleaseGroup
{
    SessionId receiver;
    OwnedItems items;
};

/// The moves away from this router, from the first sight in the view until the items have left it.
class ReleaseTracker
{
public:
    struct Changes
    {
        std::vector<ReleaseGroup> begun;
        std::vector<ReleaseGroup> cancelled;
    };

    /// Compares with the view, which must not be empty.
    Changes update(const View &view, const std::string &service, SessionId self);

    /// Notes that these items are drained and transferred. Unknown items are ignored.
    void markReleased(const OwnedItems &items);

    /// Items that are released but not yet passed on.
    std::vector<ReleaseGroup> released(const std::string &service) const;

    void clear();

private:
    struct Move
    {
        SessionId receiver;
        bool released = false;
    };

    std::map<PartitionId, Move> m_partitions;
    std::map<KeyHash, Move> m_hotKeys;
};

} // namespace Toucandeck::internal
