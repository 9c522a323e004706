#pragma once

#include "ownership/agent_listener.h"
#include "state/view.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::internal
{

/// Items that move to the same receiver.
struct ReleaseGroup
{
    SessionId receiver;
    OwnedItems items;
};

/// Tracks the moves away from this router, from their first appearance in the view until the view no longer shows them.
class ReleaseTracker
{
public:
    struct Changes
    {
        std::vector<ReleaseGroup> startedMoves;
        std::vector<ReleaseGroup> cancelledMoves;
    };

    /// Updates the moves from the view, which must not be empty. Returns those that started or were cancelled.
    Changes update(const View &view, const std::string &service, SessionId self);

    /// Marks these items as drained and transferred. Unknown items are ignored.
    void markReleased(const OwnedItems &items);

    /// Released items that the view still shows as moving.
    std::vector<ReleaseGroup> releasedGroups(const std::string &service) const;

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
