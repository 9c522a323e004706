#pragma once

#include "common/ids.h"
#include "ownership/wire_namespace.h"

#include <map>

namespace Toucandeck::internal
{

/// Versions of the state at which moves in progress began. A release that the owner sent before its current move began is not valid for
/// that move.
/// @tparam Item partition or hot key, with its service.
template<class Item>
class MovesInProgress
{
public:
    /// Discards all recorded moves. Those in progress count as begun at @p version.
    void reset(LogIndex version)
    {
        m_startVersions.clear();
        m_resetVersion = version;
    }

    /// Records that @p version changed the assignment of the item.
    /// @tparam Assignment wire::Assignment or wire::HotKey.
    template<class Assignment>
    void onAssignment(const Item &item, const Assignment &assignment, LogIndex version)
    {
        if (assignment.moving_to() != 0) {
            m_startVersions[item] = version;
        } else {
            m_startVersions.erase(item);
        }
    }

    /// Records that the item no longer exists.
    void onRemoval(const Item &item)
    {
        m_startVersions.erase(item);
    }

    /// Whether the release names the owner and the receiver of the move and was sent after the move began.
    template<class Assignment>
    bool isValidRelease(const Item &item, const Assignment &assignment, const wire::Release &release) const
    {
        const auto start = m_startVersions.find(item);
        const auto since = start == m_startVersions.end() ? m_resetVersion : start->second;
        return assignment.owner() == release.session() && assignment.moving_to() != 0 && assignment.moving_to() == release.receiver()
            && release.version() >= since.value;
    }

private:
    std::map<Item, LogIndex> m_startVersions;
    LogIndex m_resetVersion;
};

} // namespace Toucandeck::internal
