// ClusterState: hot key overrides.
#include "state/cluster_state.h"

#include "common/key_hash.h"

#include <algorithm>

namespace Toucandeck
{

void ClusterState::setHotKey(const wire::Command &command)
{
    const auto &body = command.set_hot_key();
    const auto &requested = body.hot_key();
    const auto &settings = m_view.serviceSettings(requested.service());
    if (!settings.isPartitionedByKey()) {
        countPart(false);
        return;
    }
    const KeyHash hash{ requested.key_hash() };
    const auto partition = *assignment(requested.service(), partitionOf(hash, settings.partitions).value);
    const auto &all = m_view.hotKeys(requested.service());
    const auto current = all.find(hash);
    countPart(current == all.end() ? createHotKeyOverride(body, partition)
                                   : changeHotKeyOverride(body, wire::HotKey(current->second), partition));
}

bool ClusterState::createHotKeyOverride(const wire::SetHotKey &command, const wire::Assignment &partition)
{
    const auto &requested = command.hot_key();
    if (command.previous_epoch() != partition.epoch() || partition.moving_to() != 0) {
        return false;
    }
    // The override starts with the owner, epoch and crash history of the partition.
    wire::HotKey hotKey;
    hotKey.set_service(requested.service());
    hotKey.set_key_hash(requested.key_hash());
    hotKey.set_owner(partition.owner());
    hotKey.set_epoch(partition.epoch());
    hotKey.set_crash_granted_ms(partition.crash_granted_ms());
    hotKey.set_crashed(partition.crashed());
    if (partition.owner() == 0) {
        return grantHotKey(hotKey, requested);
    }
    if (requested.owner() != partition.owner()) {
        return false;
    }
    if (requested.moving_to() != 0) {
        return beginHotKeyMove(hotKey, requested);
    }
    updateHotKey(hotKey);
    return true;
}

bool ClusterState::changeHotKeyOverride(const wire::SetHotKey &command, const wire::HotKey &current, const wire::Assignment &partition)
{
    const auto &requested = command.hot_key();
    if (command.previous_epoch() != current.epoch()) {
        return false;
    }
    if (requested.owner() == 0) {
        return requested.moving_to() == 0 && removeHotKeyOverride(current, partition);
    }
    if (current.owner() == 0) {
        return grantHotKey(current, requested);
    }
    return requested.owner() == current.owner() && beginHotKeyMove(current, requested);
}

/// Begins a handover, or cancels it if moving_to is 0.
bool ClusterState::beginHotKeyMove(const wire::HotKey &current, const wire::HotKey &requested)
{
    const bool isCancellation = requested.moving_to() == 0;
    if (isCancellation != (current.moving_to() != 0)) {
        return false;
    }
    if (!isCancellation && (requested.moving_to() == current.owner() || !isLiveSessionOf(requested.moving_to(), requested.service()))) {
        return false;
    }
    auto changed = current;
    changed.set_moving_to(requested.moving_to());
    updateHotKey(changed);
    return true;
}

bool ClusterState::grantHotKey(wire::HotKey hotKey, const wire::HotKey &requested)
{
    if (hotKey.owner() != 0 || requested.moving_to() != 0 || !isLiveSessionOf(requested.owner(), requested.service())) {
        return false;
    }
    hotKey.set_owner(requested.owner());
    hotKey.set_epoch(allocateEpoch());
    if (hotKey.crashed()) {
        hotKey.set_crash_granted_ms(std::max(hotKey.crash_granted_ms(), requested.crash_granted_ms()));
        hotKey.set_crashed(false);
    }
    updateHotKey(hotKey);
    return true;
}

bool ClusterState::removeHotKeyOverride(const wire::HotKey &current, wire::Assignment partition)
{
    const bool isSameOwner = current.owner() != 0 && current.owner() == partition.owner();
    const bool bothCrashed = current.crashed() && partition.crashed();
    if ((!isSameOwner && !bothCrashed) || current.moving_to() != 0 || partition.moving_to() != 0) {
        return false;
    }
    partition.set_epoch(allocateEpoch());
    partition.set_crash_granted_ms(std::max(partition.crash_granted_ms(), current.crash_granted_ms()));
    updateAssignment(current.service(), partition);
    const KeyHash hash{ current.key_hash() };
    m_changedHotKeys.emplace(current.service(), hash);
    m_view.m_tables.removeHotKey(current.service(), hash);
    return true;
}

void ClusterState::releaseHotKey(const wire::Command &command)
{
    const auto &release = command.release_hot_key();
    const auto &all = m_view.hotKeys(release.service());
    const auto current = all.find(KeyHash{ release.key_hash() });
    if (current == all.end() || release.session() == 0 || current->second.owner() != release.session()
        || (release.receiver() != 0 && release.receiver() != current->second.moving_to())) {
        countPart(false);
        return;
    }
    auto changed = current->second;
    changed.set_owner(changed.moving_to());
    changed.set_moving_to(0);
    changed.set_epoch(allocateEpoch());
    changed.set_crashed(changed.owner() == 0);
    updateHotKey(changed);
    countPart(true);
}

} // namespace Toucandeck
