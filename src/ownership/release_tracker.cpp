#include "ownership/release_tracker.h"

namespace Toucandeck::internal
{

namespace
{

using Groups = std::map<SessionId, OwnedItems>;

void add(OwnedItems &items, PartitionId partition)
{
    items.partitions.push_back(partition);
}

void add(OwnedItems &items, KeyHash key)
{
    items.hotKeys.push_back(key);
}

std::vector<ReleaseGroup> toGroupList(const Groups &groups, const std::string &service)
{
    std::vector<ReleaseGroup> list;
    for (const auto &[receiver, items] : groups) {
        list.push_back({ receiver, items });
        list.back().items.service = service;
    }
    return list;
}

/// Updates @p moves from the view: @p movingTo holds the receivers of the items that move away, @p owned the items that this router
/// owns.
template<class Item, class Move>
void updateMoves(std::map<Item, Move> &moves,
                 const std::map<Item, SessionId> &movingTo,
                 const std::map<Item, bool> &owned,
                 Groups &startedMoves,
                 Groups &cancelledMoves)
{
    for (auto it = moves.begin(); it != moves.end();) {
        const auto moving = movingTo.find(it->first);
        if (moving != movingTo.end() && moving->second == it->second.receiver) {
            ++it;
            continue;
        }
        if (owned.contains(it->first)) {
            add(cancelledMoves[it->second.receiver], it->first);
        }
        it = moves.erase(it);
    }
    for (const auto &[item, receiver] : movingTo) {
        if (moves.try_emplace(item, Move{ receiver, false }).second) {
            add(startedMoves[receiver], item);
        }
    }
}

template<class Item, class Move>
void collectReleased(const std::map<Item, Move> &moves, Groups &groups)
{
    for (const auto &[item, move] : moves) {
        if (move.released) {
            add(groups[move.receiver], item);
        }
    }
}

template<class Item, class Move>
void markAllReleased(std::map<Item, Move> &moves, const std::vector<Item> &items)
{
    for (const auto item : items) {
        const auto it = moves.find(item);
        if (it != moves.end()) {
            it->second.released = true;
        }
    }
}

} // namespace

ReleaseTracker::Changes ReleaseTracker::update(const View &view, const std::string &service, SessionId self)
{
    std::map<PartitionId, SessionId> movingPartitions;
    std::map<PartitionId, bool> ownedPartitions;
    for (const auto &it : view.assignments(service)) {
        if (it.owner() == self.value) {
            ownedPartitions.emplace(PartitionId{ it.partition() }, true);
            if (it.moving_to() != 0) {
                movingPartitions.emplace(PartitionId{ it.partition() }, SessionId{ it.moving_to() });
            }
        }
    }
    std::map<KeyHash, SessionId> movingKeys;
    std::map<KeyHash, bool> ownedKeys;
    for (const auto &[key, it] : view.hotKeys(service)) {
        if (it.owner() == self.value) {
            ownedKeys.emplace(key, true);
            if (it.moving_to() != 0) {
                movingKeys.emplace(key, SessionId{ it.moving_to() });
            }
        }
    }
    Groups startedMoves;
    Groups cancelledMoves;
    updateMoves(m_partitions, movingPartitions, ownedPartitions, startedMoves, cancelledMoves);
    updateMoves(m_hotKeys, movingKeys, ownedKeys, startedMoves, cancelledMoves);
    return { toGroupList(startedMoves, service), toGroupList(cancelledMoves, service) };
}

void ReleaseTracker::markReleased(const OwnedItems &items)
{
    markAllReleased(m_partitions, items.partitions);
    markAllReleased(m_hotKeys, items.hotKeys);
}

std::vector<ReleaseGroup> ReleaseTracker::releasedGroups(const std::string &service) const
{
    Groups groups;
    collectReleased(m_partitions, groups);
    collectReleased(m_hotKeys, groups);
    return toGroupList(groups, service);
}

void ReleaseTracker::clear()
{
    m_partitions.clear();
    m_hotKeys.clear();
}

} // namespace Toucandeck::internal
