// Partitions: grants, moves and releases.
#include "state/cluster_state.h"

#include <algorithm>

namespace Toucandeck
{

const wire::Assignment *ClusterState::assignment(const std::string &service, std::uint32_t partition) const
{
    const auto all = m_view.assignments(service);
    return partition < all.size() ? &all[partition] : nullptr;
}

void ClusterState::grantPartitions(const wire::Command &command)
{
    for (const auto &it : command.grant_partitions().grants()) {
        count(grantPartition(it));
    }
}

bool ClusterState::grantPartition(const wire::PartitionGrant &grant)
{
    const auto *present = assignment(grant.service(), grant.partition());
    if (present == nullptr || present->owner() != 0 || present->epoch() != grant.previous_epoch()
        || !isLiveSessionOf(grant.session(), grant.service())) {
        return false;
    }
    auto changed = *present;
    changed.set_owner(grant.session());
    changed.set_epoch(takeEpoch());
    if (present->crashed()) {
        // The wall clock may jump back; the later time is the safe one.
        changed.set_crash_granted_ms(std::max(present->crash_granted_ms(), grant.wall_time_ms()));
        changed.set_crashed(false);
    }
    changeAssignment(grant.service(), changed);
    return true;
}

void ClusterState::beginMoves(const wire::Command &command)
{
    for (const auto &it : command.begin_moves().moves()) {
        count(beginMove(it));
    }
}

/// Session 0 cancels the move. A second receiver is void, because the records may already be on their way to the first.
bool ClusterState::beginMove(const wire::PartitionGrant &move)
{
    const auto *present = assignment(move.service(), move.partition());
    if (present == nullptr || present->owner() == 0 || present->epoch() != move.previous_epoch()) {
        return false;
    }
    const bool cancel = move.session() == 0;
    if (cancel != (present->moving_to() != 0)) {
        return false;
    }
    if (!cancel && (move.session() == present->owner() || !isLiveSessionOf(move.session(), move.service()))) {
        return false;
    }
    auto changed = *present;
    changed.set_moving_to(move.session());
    changeAssignment(move.service(), changed);
    return true;
}

void ClusterState::releasePartitions(const wire::Command &command)
{
    const auto &release = command.release_partitions();
    for (const auto it : release.partitions()) {
        count(releasePartition(release, it));
    }
}

bool ClusterState::releasePartition(const wire::ReleasePartitions &release, std::uint32_t partition)
{
    const auto *present = assignment(release.service(), partition);
    if (present == nullptr || release.session() == 0 || present->owner() != release.session()) {
        return false;
    }
    if (release.receiver() != 0 && release.receiver() != present->moving_to()) {
        return false;
    }
    auto changed = *present;
    changed.set_owner(present->moving_to());
    changed.set_moving_to(0);
    changed.set_epoch(takeEpoch());
    changed.set_crashed(changed.owner() == 0);
    changeAssignment(release.service(), changed);
    return true;
}

} // namespace Toucandeck
