#include "ownership/hot_key_moves.h"

#include "common/assert.h"
#include "common/key_hash.h"
#include "ownership/events.h"

namespace Toucandeck::internal
{

HotKeyMoves::HotKeyMoves(LeaderContext &context, GrantPlanner &partitions)
    : m_context(context)
    , m_partitions(partitions)
{
}

void HotKeyMoves::reset()
{
    m_planners.clear();
    m_pendingKeys.clear();
    m_moves.reset(m_context.view().version());
}

void HotKeyMoves::onDeltaApplied(const wire::ViewDelta &delta)
{
    for (const auto &it : delta.hot_keys()) {
        m_moves.onAssignment({ it.service(), KeyHash{ it.key_hash() } }, it, LogIndex{ delta.to_version() });
    }
    for (const auto &it : delta.removed_hot_keys()) {
        m_moves.onRemoval({ it.service(), KeyHash{ it.key_hash() } });
    }
}

void HotKeyMoves::plan(const std::string &service)
{
    if (m_context.view().assignments(service).empty()) {
        return;
    }
    auto keys = reportedRates(service);
    for (const auto &[key, hotKey] : m_context.view().hotKeys(service)) {
        keys.try_emplace(key, 0);
        maintainOverride(service, hotKey);
    }
    if (keys.empty()) {
        return;
    }
    std::vector<HotKeyLoad> loads;
    for (const auto &[key, rate] : keys) {
        loads.push_back(hotKeyLoad(service, key, rate));
    }
    auto &planner = m_planners.try_emplace(service, m_context.parts.clock).first->second;
    if (const auto change = planner.plan(instanceLoads(service), loads)) {
        proposeMove(service, *change);
    }
}

HotKeyMoves::KeyRates HotKeyMoves::reportedRates(const std::string &service) const
{
    // Each request is counted by exactly one router, so the rates can be summed.
    KeyRates rates;
    for (const auto &[id, record] : m_context.sessions) {
        if (!m_context.isRecentlyRenewed(id)) {
            continue;
        }
        for (const auto &it : record.hotKeys) {
            if (it.service() == service) {
                rates[KeyHash{ it.key_hash() }] += it.rate();
            }
        }
    }
    return rates;
}

std::vector<InstanceLoad> HotKeyMoves::instanceLoads(const std::string &service) const
{
    std::vector<InstanceLoad> loads;
    for (const auto &it : m_context.view().instancesOf(service)) {
        const auto *record = m_context.find(it.id);
        const bool mayReceive = m_context.mayOwn(it) && m_context.isRecentlyRenewed(it.id) && !it.session->cold();
        loads.push_back({ it.id, record == nullptr ? 0 : record->loadPermille, mayReceive });
    }
    return loads;
}

HotKeyLoad HotKeyMoves::hotKeyLoad(const std::string &service, KeyHash key, double rate) const
{
    HotKeyLoad load;
    load.key = key;
    load.rate = rate;
    load.owner = m_context.view().ownerOf(service, key).value_or(Owner()).session;
    load.partitionOwner = m_context.view().ownerOf(service, partitionOfKey(service, key)).value_or(Owner()).session;
    load.hasOverride = m_context.view().hotKeys(service).contains(key);
    load.isBlocked = hasPendingChange(service, key) || !m_context.isLive(load.owner);
    return load;
}

void HotKeyMoves::maintainOverride(const std::string &service, const wire::HotKey &hotKey)
{
    const KeyHash key{ hotKey.key_hash() };
    if (hasPendingChange(service, key) || m_context.holds.isHeld(service, key, m_context.now())) {
        return;
    }
    const auto partitionOwner = *m_context.view().ownerOf(service, partitionOfKey(service, key));
    if (hotKey.owner() == 0) {
        regrant(hotKey, partitionOwner);
        return;
    }
    if (hotKey.owner() == partitionOwner.session.value) {
        wire::Command command;
        auto &removed = *command.mutable_set_hot_key()->mutable_hot_key();
        removed.set_service(service);
        removed.set_key_hash(key.value);
        command.mutable_set_hot_key()->set_previous_epoch(hotKey.epoch());
        propose(command, service, key);
        return;
    }
    if (mustMoveAway(hotKey)) {
        if (const auto to = receiverFor(hotKey)) {
            proposeMove(service, { key, *to });
        }
    }
}

void HotKeyMoves::regrant(const wire::HotKey &hotKey, const Owner &partitionOwner)
{
    if (!m_context.isLive(partitionOwner.session)) {
        return;
    }
    TOUCANDECK_ASSERT(!m_context.holds.isHeld(hotKey.service(), KeyHash{ hotKey.key_hash() }, m_context.now()),
                      "no grant while a lease may be valid");
    wire::Command command;
    auto &granted = *command.mutable_set_hot_key()->mutable_hot_key();
    granted.set_service(hotKey.service());
    granted.set_key_hash(hotKey.key_hash());
    granted.set_owner(partitionOwner.session.value);
    granted.set_crash_granted_ms(m_context.wallMilliseconds());
    command.mutable_set_hot_key()->set_previous_epoch(hotKey.epoch());
    propose(command, hotKey.service(), KeyHash{ hotKey.key_hash() });
}

bool HotKeyMoves::mustMoveAway(const wire::HotKey &hotKey) const
{
    for (const auto &it : m_context.view().instancesOf(hotKey.service())) {
        if (it.id.value == hotKey.owner()) {
            return m_context.isLive(it.id) && !m_context.mayOwn(it);
        }
    }
    return false;
}

std::optional<SessionId> HotKeyMoves::receiverFor(const wire::HotKey &hotKey) const
{
    const auto partitionOwner = m_context.view().ownerOf(hotKey.service(), partitionOfKey(hotKey.service(), KeyHash{ hotKey.key_hash() }));
    const InstanceLoad *best = nullptr;
    const auto loads = instanceLoads(hotKey.service());
    for (const auto &it : loads) {
        if (!it.mayReceive || it.session.value == hotKey.owner()) {
            continue;
        }
        if (partitionOwner && it.session == partitionOwner->session) {
            return it.session;
        }
        if (best == nullptr || it.loadPermille < best->loadPermille) {
            best = &it;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->session);
}

bool HotKeyMoves::hasPendingChange(const std::string &service, KeyHash key) const
{
    // Changes of a key and of its partition are serialized: a release of the partition must not hand over a key that returns to it at
    // the same time.
    const auto partition = partitionOfKey(service, key);
    const auto partitionOwner = m_context.view().ownerOf(service, partition);
    const auto owner = m_context.view().ownerOf(service, key);
    return m_pendingKeys.contains({ service, key }) || m_partitions.isPending(service, partition) || !partitionOwner
        || partitionOwner->isMoving() || !owner || owner->isMoving();
}

PartitionId HotKeyMoves::partitionOfKey(const std::string &service, KeyHash key) const
{
    return partitionOf(key, static_cast<std::uint32_t>(m_context.view().assignments(service).size()));
}

void HotKeyMoves::proposeMove(const std::string &service, const HotKeyChange &change)
{
    const auto owner = m_context.view().ownerOf(service, change.key);
    if (!owner || hasPendingChange(service, change.key)) {
        return;
    }
    wire::Command command;
    auto &body = *command.mutable_set_hot_key();
    body.mutable_hot_key()->set_service(service);
    body.mutable_hot_key()->set_key_hash(change.key.value);
    body.mutable_hot_key()->set_owner(owner->session.value);
    body.mutable_hot_key()->set_moving_to(change.to.value);
    body.set_previous_epoch(owner->epoch.value);
    m_context.parts.logger.write(OwnershipEvents::kHotKeyMoved,
                                 { field("service", service), field("key", change.key.value), field("to", change.to.value) });
    propose(command, service, change.key);
}

bool HotKeyMoves::isReleasable(const wire::Release &release, KeyHash key) const
{
    const ServiceKey item{ release.service(), key };
    const auto &all = m_context.view().hotKeys(release.service());
    const auto current = all.find(key);
    if (current == all.end() || m_pendingKeys.contains(item) || !m_context.isLive(SessionId{ release.receiver() })) {
        return false;
    }
    return m_moves.isValidRelease(item, current->second, release);
}

void HotKeyMoves::handleRelease(const wire::Release &release)
{
    for (const auto it : release.hot_keys()) {
        const KeyHash key{ it };
        if (!isReleasable(release, key)) {
            continue;
        }
        wire::Command command;
        auto &body = *command.mutable_release_hot_key();
        body.set_service(release.service());
        body.set_key_hash(it);
        body.set_session(release.session());
        body.set_receiver(release.receiver());
        propose(command, release.service(), key);
    }
}

void HotKeyMoves::propose(const wire::Command &command, const std::string &service, KeyHash key)
{
    const auto partition = partitionOfKey(service, key);
    m_pendingKeys.emplace(service, key);
    m_partitions.block(service, partition);
    m_context.propose(command, [this, service, key, partition](const CommandAnswer *) {
        m_pendingKeys.erase({ service, key });
        m_partitions.unblock(service, partition);
    });
}

} // namespace Toucandeck::internal
