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
    m_pending.clear();
    m_moveBegan.clear();
    m_firstVersion = m_context.view().version();
}

void HotKeyMoves::applied(const wire::ViewDelta &delta)
{
    for (const auto &it : delta.hot_keys()) {
        const Place place{ it.service(), KeyHash{ it.key_hash() } };
        if (it.moving_to() != 0) {
            m_moveBegan[place] = LogIndex{ delta.to_version() };
        } else {
            m_moveBegan.erase(place);
        }
    }
    for (const auto &it : delta.removed_hot_keys()) {
        m_moveBegan.erase({ it.service(), KeyHash{ it.key_hash() } });
    }
}

void HotKeyMoves::plan(const std::string &service)
{
    if (m_context.view().assignments(service).empty()) {
        return;
    }
    auto keys = reportsOf(service);
    for (const auto &[key, hotKey] : m_context.view().hotKeys(service)) {
        keys.try_emplace(key, 0);
        maintain(service, hotKey);
    }
    if (keys.empty()) {
        return;
    }
    std::vector<HotKeyLoad> loads;
    for (const auto &[key, rate] : keys) {
        loads.push_back(loadOf(service, key, rate));
    }
    auto &planner = m_planners.try_emplace(service, m_context.parts.clock).first->second;
    if (const auto change = planner.plan(loadsOf(service), loads)) {
        proposeMove(service, *change);
    }
}

HotKeyMoves::Reports HotKeyMoves::reportsOf(const std::string &service) const
{
    // Each request is counted by one router, so that the rates add up.
    Reports reports;
    for (const auto &[id, record] : m_context.sessions) {
        if (!m_context.isFresh(id)) {
            continue;
        }
        for (const auto &it : record.hotKeys) {
            if (it.service() == service) {
                reports[KeyHash{ it.key_hash() }] += it.rate();
            }
        }
    }
    return reports;
}

std::vector<InstanceLoad> HotKeyMoves::loadsOf(const std::string &service) const
{
    std::vector<InstanceLoad> loads;
    for (const auto &it : m_context.view().instancesOf(service)) {
        const auto *record = m_context.find(it.id);
        const bool mayReceive = m_context.mayOwn(it) && m_context.isFresh(it.id) && !it.session->cold();
        loads.push_back({ it.id, record == nullptr ? 0 : record->loadPermille, mayReceive });
    }
    return loads;
}

HotKeyLoad HotKeyMoves::loadOf(const std::string &service, KeyHash key, double rate) const
{
    HotKeyLoad load;
    load.key = key;
    load.rate = rate;
    load.owner = m_context.view().ownerOf(service, key).value_or(Owner()).session;
    load.home = m_context.view().ownerOf(service, partitionOfKey(service, key)).value_or(Owner()).session;
    load.hasOverride = m_context.view().hotKeys(service).contains(key);
    load.busy = isBusy(service, key) || !m_context.isLive(load.owner);
    return load;
}

void HotKeyMoves::maintain(const std::string &service, const wire::HotKey &hotKey)
{
    const KeyHash key{ hotKey.key_hash() };
    if (isBusy(service, key) || m_context.holds.isHeld(service, key, m_context.now())) {
        return;
    }
    const auto home = *m_context.view().ownerOf(service, partitionOfKey(service, key));
    if (hotKey.owner() == 0) {
        regrant(hotKey, home);
        return;
    }
    if (hotKey.owner() == home.session.value) {
        wire::Command command;
        auto &dropped = *command.mutable_set_hot_key()->mutable_hot_key();
        dropped.set_service(service);
        dropped.set_key_hash(key.value);
        command.mutable_set_hot_key()->set_previous_epoch(hotKey.epoch());
        propose(command, service, key);
        return;
    }
    if (mustLeave(hotKey)) {
        if (const auto to = refugeFor(hotKey)) {
            proposeMove(service, { key, *to });
        }
    }
}

void HotKeyMoves::regrant(const wire::HotKey &hotKey, const Owner &home)
{
    if (!m_context.isLive(home.session)) {
        return;
    }
    TOUCANDECK_ASSERT(!m_context.holds.isHeld(hotKey.service(), KeyHash{ hotKey.key_hash() }, m_context.now()),
                      "no grant while a lease may be valid");
    wire::Command command;
    auto &granted = *command.mutable_set_hot_key()->mutable_hot_key();
    granted.set_service(hotKey.service());
    granted.set_key_hash(hotKey.key_hash());
    granted.set_owner(home.session.value);
    granted.set_crash_granted_ms(m_context.wallMilliseconds());
    command.mutable_set_hot_key()->set_previous_epoch(hotKey.epoch());
    propose(command, hotKey.service(), KeyHash{ hotKey.key_hash() });
}

bool HotKeyMoves::mustLeave(const wire::HotKey &hotKey) const
{
    for (const auto &it : m_context.view().instancesOf(hotKey.service())) {
        if (it.id.value == hotKey.owner()) {
            return m_context.isLive(it.id) && !m_context.mayOwn(it);
        }
    }
    return false;
}

std::optional<SessionId> HotKeyMoves::refugeFor(const wire::HotKey &hotKey) const
{
    const auto home = m_context.view().ownerOf(hotKey.service(), partitionOfKey(hotKey.service(), KeyHash{ hotKey.key_hash() }));
    const InstanceLoad *best = nullptr;
    const auto loads = loadsOf(hotKey.service());
    for (const auto &it : loads) {
        if (!it.mayReceive || it.session.value == hotKey.owner()) {
            continue;
        }
        if (home && it.session == home->session) {
            return it.session;
        }
        if (best == nullptr || it.loadPermille < best->loadPermille) {
            best = &it;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->session);
}

bool HotKeyMoves::isBusy(const std::string &service, KeyHash key) const
{
    // A key and its partition change one after the other: a release of the partition must not pass on a key that falls back to it
    // meanwhile.
    const auto partition = partitionOfKey(service, key);
    const auto home = m_context.view().ownerOf(service, partition);
    const auto owner = m_context.view().ownerOf(service, key);
    return m_pending.contains({ service, key }) || m_partitions.isPending(service, partition) || !home || home->isMoving() || !owner
        || owner->isMoving();
}

PartitionId HotKeyMoves::partitionOfKey(const std::string &service, KeyHash key) const
{
    return partitionOf(key, static_cast<std::uint32_t>(m_context.view().assignments(service).size()));
}

void HotKeyMoves::proposeMove(const std::string &service, const HotKeyChange &change)
{
    const auto owner = m_context.view().ownerOf(service, change.key);
    if (!owner || isBusy(service, change.key)) {
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
    const Place place{ release.service(), key };
    const auto &all = m_context.view().hotKeys(release.service());
    const auto present = all.find(key);
    if (present == all.end() || m_pending.contains(place) || !m_context.isLive(SessionId{ release.receiver() })) {
        return false;
    }
    const auto began = m_moveBegan.find(place);
    const auto since = began == m_moveBegan.end() ? m_firstVersion : began->second;
    return present->second.owner() == release.session() && present->second.moving_to() != 0
        && present->second.moving_to() == release.receiver() && release.version() >= since.value;
}

void HotKeyMoves::release(const wire::Release &release)
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
    m_pending.emplace(service, key);
    m_partitions.block(service, partition);
    m_context.propose(command, [this, service, key, partition](const CommandAnswer *) {
        m_pending.erase({ service, key });
        m_partitions.unblock(service, partition);
    });
}

} // namespace Toucandeck::internal
