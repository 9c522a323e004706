// ClusterState: grants, handovers and releases of partitions.
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
        countPart(grantPartition(it));
    }
}

bool ClusterState::grantPartition(const wire::PartitionGrant &grant)
{
    const auto *current = assignment(grant.service(), grant.partition());
    if (current == nullptr || current->owner() != 0 || current->epoch() != grant.previous_epoch()
        || !isLiveSessionOf(grant.session(), grant.service())) {
        return false;
    }
    auto changed = *current;
    changed.set_owner(grant.session());
    changed.set_epoch(allocateEpoch());
    if (current->crashed()) {
        // The wall clock may jump back. The later time is the safe choice.
        changed.set_crash_granted_ms(std::max(current->crash_granted_ms(), grant.wall_time_ms()));
        changed.set_crashed(false);
    }
    updateAssignment(grant.service(), changed);
    return true;
}

void ClusterState::beginMoves(const wire::Command &command)
{
    for (const auto &it : command.begin_moves().moves()) {
        countPart(beginMove(it));
    }
}

/// Session 0 cancels the handover. A second receiver is rejected, because the idempotency records may already be in transit to the
/// first one.
bool ClusterState::beginMove(const wire::PartitionGrant &move)
{
    const auto *current = assignment(move.service(), move.partition());
    if (current == nullptr || current->owner() == 0 || current->epoch() != move.previous_epoch()) {
        return false;
    }
    const bool isCancellation = move.session() == 0;
    if (isCancellation != (current->moving_to() != 0)) {
        return false;
    }
    if (!isCancellation && (move.session() == current->owner() || !isLiveSessionOf(move.session(), move.service()))) {
        return false;
    }
    auto changed = *current;
    changed.set_moving_to(move.session());
    updateAssignment(move.service(), changed);
    return true;
}

void ClusterState::releasePartitions(const wire::Command &command)
{
    const auto &release = command.release_partitions();
    for (const auto it : release.partitions()) {
        countPart(releasePartition(release, it));
    }
}

bool ClusterState::releasePartition(const wire::ReleasePartitions &release, std::uint32_t partition)
{
    const auto *current = assignment(release.service(), partition);
    if (current == nullptr || release.session() == 0 || current->owner() != release.session()) {
        return false;
    }
    if (release.receiver() != 0 && release.receiver() != current->moving_to()) {
        return false;
    }
    auto changed = *current;
    changed.set_owner(current->moving_to());
    changed.set_moving_to(0);
    changed.set_epoch(allocateEpoch());
    changed.set_crashed(changed.owner() == 0);
    updateAssignment(release.service(), changed);
    return true;
}

} // namespace Toucandeck
