#include "ownership/hot_key_planner.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

const InstanceLoad *find(const std::vector<InstanceLoad> &instances, SessionId session)
{
    const auto it = std::find_if(instances.begin(), instances.end(), [session](const auto &it) { return it.session == session; });
    return it == instances.end() ? nullptr : &*it;
}

const InstanceLoad *leastLoaded(const std::vector<InstanceLoad> &instances)
{
    const InstanceLoad *best = nullptr;
    for (const auto &it : instances) {
        if (it.mayReceive && (best == nullptr || it.loadPermille < best->loadPermille)) {
            best = &it;
        }
    }
    return best;
}

} // namespace

HotKeyPlanner::HotKeyPlanner(const Clock &clock)
    : m_clock(clock)
{
}

std::optional<HotKeyChange> HotKeyPlanner::plan(const std::vector<InstanceLoad> &instances, const std::vector<HotKeyLoad> &keys)
{
    const auto now = m_clock.now();
    removeOldResidences(now);
    if (m_lastChange && now - *m_lastChange < kChangeInterval) {
        return std::nullopt;
    }
    const auto returned = returnToPartitionOwner(instances, keys);
    return returned ? returned : relieveOverloadedInstance(instances, keys);
}

bool HotKeyPlanner::mayMove(const HotKeyLoad &key, TimePoint now) const
{
    const auto it = m_residences.find(key.key);
    return !key.isBlocked && key.owner && (it == m_residences.end() || now - it->second.start >= it->second.minDuration);
}

std::optional<HotKeyChange> HotKeyPlanner::returnToPartitionOwner(const std::vector<InstanceLoad> &instances,
                                                                  const std::vector<HotKeyLoad> &keys)
{
    for (const auto &it : keys) {
        const auto *partitionOwner = find(instances, it.partitionOwner);
        if (it.hasOverride && it.owner != it.partitionOwner && it.rate < kReturnRate && partitionOwner != nullptr
            && partitionOwner->mayReceive && mayMove(it, m_clock.now())) {
            return recordChange(it, it.partitionOwner);
        }
    }
    return std::nullopt;
}

std::optional<HotKeyChange> HotKeyPlanner::relieveOverloadedInstance(const std::vector<InstanceLoad> &instances,
                                                                     const std::vector<HotKeyLoad> &keys)
{
    const auto *target = leastLoaded(instances);
    if (target == nullptr) {
        return std::nullopt;
    }
    const auto overrides = std::count_if(keys.begin(), keys.end(), [](const auto &it) { return it.hasOverride; });
    const bool full = static_cast<std::size_t>(overrides) >= kMaxOverrides;
    const HotKeyLoad *best = nullptr;
    std::uint32_t bestLoad = 0;
    for (const auto &it : keys) {
        const auto *owner = find(instances, it.owner);
        if (owner == nullptr || it.rate < kMinRate || (full && !it.hasOverride) || !mayMove(it, m_clock.now())) {
            continue;
        }
        const auto load = owner->loadPermille;
        if (load < kBusyPermille || load < target->loadPermille + kMoveGapPermille) {
            continue;
        }
        if (best == nullptr || load > bestLoad || (load == bestLoad && it.rate > best->rate)) {
            best = &it;
            bestLoad = load;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(recordChange(*best, target->session));
}

HotKeyChange HotKeyPlanner::recordChange(const HotKeyLoad &key, SessionId to)
{
    const auto now = m_clock.now();
    const auto it = m_residences.find(key.key);
    const auto residence = it == m_residences.end() ? kMinResidence : std::min(it->second.minDuration * 2, kMaxResidence);
    m_residences[key.key] = { now, residence };
    m_lastChange = now;
    return { key.key, to };
}

void HotKeyPlanner::removeOldResidences(TimePoint now)
{
    // Twice the maximum residence is long enough that a flapping key does not start over with the minimum.
    std::erase_if(m_residences, [now](const auto &it) { return now - it.second.start > 2 * kMaxResidence; });
}

} // namespace Toucandeck
