// Hot key overrides.
#include "state/cluster_state.h"

#include "common/key_hash.h"

#include <algorithm>

namespace Toucandeck
{

void ClusterState::setHotKey(const wire::Command &command)
{
    const auto &body = command.set_hot_key();
    const auto &wanted = body.hot_key();
    const auto &settings = m_view.serviceSettings(wanted.service());
    if (!settings.isDividedByKey()) {
        count(false);
        return;
    }
    const KeyHash hash{ wanted.key_hash() };
    const auto partition = *assignment(wanted.service(), partitionOf(hash, settings.partitions).value);
    const auto &all = m_view.hotKeys(wanted.service());
    const auto present = all.find(hash);
    count(present == all.end() ? startHotKey(body, partition) : changeHotKey(body, wire::HotKey(present->second), partition));
}

bool ClusterState::startHotKey(const wire::SetHotKey &command, const wire::Assignment &partition)
{
    const auto &wanted = command.hot_key();
    if (command.previous_epoch() != partition.epoch() || partition.moving_to() != 0) {
        return false;
    }
    // The key leaves its partition with the partition's owner, epoch and history.
    wire::HotKey hotKey;
    hotKey.set_service(wanted.service());
    hotKey.set_key_hash(wanted.key_hash());
    hotKey.set_owner(partition.owner());
    hotKey.set_epoch(partition.epoch());
    hotKey.set_crash_granted_ms(partition.crash_granted_ms());
    hotKey.set_crashed(partition.crashed());
    if (partition.owner() == 0) {
        return grantHotKey(hotKey, wanted);
    }
    if (wanted.owner() != partition.owner()) {
        return false;
    }
    if (wanted.moving_to() != 0) {
        return moveHotKey(hotKey, wanted);
    }
    changeHotKeyEntry(hotKey);
    return true;
}

bool ClusterState::changeHotKey(const wire::SetHotKey &command, const wire::HotKey &present, const wire::Assignment &partition)
{
    const auto &wanted = command.hot_key();
    if (command.previous_epoch() != present.epoch()) {
        return false;
    }
    if (wanted.owner() == 0) {
        return wanted.moving_to() == 0 && dropHotKey(present, partition);
    }
    if (present.owner() == 0) {
        return grantHotKey(present, wanted);
    }
    return wanted.owner() == present.owner() && moveHotKey(present, wanted);
}

/// Begins a move, or cancels it if moving_to is 0.
bool ClusterState::moveHotKey(const wire::HotKey &present, const wire::HotKey &wanted)
{
    const bool cancel = wanted.moving_to() == 0;
    if (cancel != (present.moving_to() != 0)) {
        return false;
    }
    if (!cancel && (wanted.moving_to() == present.owner() || !isLiveSessionOf(wanted.moving_to(), wanted.service()))) {
        return false;
    }
    auto changed = present;
    changed.set_moving_to(wanted.moving_to());
    changeHotKeyEntry(changed);
    return true;
}

bool ClusterState::grantHotKey(wire::HotKey hotKey, const wire::HotKey &wanted)
{
    if (hotKey.owner() != 0 || wanted.moving_to() != 0 || !isLiveSessionOf(wanted.owner(), wanted.service())) {
        return false;
    }
    hotKey.set_owner(wanted.owner());
    hotKey.set_epoch(takeEpoch());
    if (hotKey.crashed()) {
        hotKey.set_crash_granted_ms(std::max(hotKey.crash_granted_ms(), wanted.crash_granted_ms()));
        hotKey.set_crashed(false);
    }
    changeHotKeyEntry(hotKey);
    return true;
}

bool ClusterState::dropHotKey(const wire::HotKey &present, wire::Assignment partition)
{
    const bool isSameOwner = present.owner() != 0 && present.owner() == partition.owner();
    const bool bothCrashed = present.crashed() && partition.crashed();
    if ((!isSameOwner && !bothCrashed) || present.moving_to() != 0 || partition.moving_to() != 0) {
        return false;
    }
    partition.set_epoch(takeEpoch());
    partition.set_crash_granted_ms(std::max(partition.crash_granted_ms(), present.crash_granted_ms()));
    changeAssignment(present.service(), partition);
    const KeyHash hash{ present.key_hash() };
    m_changedHotKeys.emplace(present.service(), hash);
    m_view.m_tables.removeHotKey(present.service(), hash);
    return true;
}

void ClusterState::releaseHotKey(const wire::Command &command)
{
    const auto &release = command.release_hot_key();
    const auto &all = m_view.hotKeys(release.service());
    const auto present = all.find(KeyHash{ release.key_hash() });
    if (present == all.end() || release.session() == 0 || present->second.owner() != release.session()
        || (release.receiver() != 0 && release.receiver() != present->second.moving_to())) {
        count(false);
        return;
    }
    auto changed = present->second;
    changed.set_owner(changed.moving_to());
    changed.set_moving_to(0);
    changed.set_epoch(takeEpoch());
    changed.set_crashed(changed.owner() == 0);
    changeHotKeyEntry(changed);
    count(true);
}

} // namespace Toucandeck
