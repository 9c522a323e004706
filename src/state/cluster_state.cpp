#include "state/cluster_state.h"

#include "common/assert.h"

#include <algorithm>
#include <array>

namespace Toucandeck
{

namespace
{

/// A change of owner needs a higher epoch and either no owner before or a release towards the receiver of the move.
template<class Item>
void assertOwnerRules(const Item &present, const Item &changed)
{
    TOUCANDECK_ASSERT(changed.epoch() >= present.epoch(), "the epoch of a partition or hot key only grows");
    if (changed.owner() != 0 && changed.owner() != present.owner()) {
        TOUCANDECK_ASSERT(changed.epoch() > present.epoch(), "each owner gets an epoch of its own");
        TOUCANDECK_ASSERT(present.owner() == 0 || present.moving_to() == changed.owner(), "a partition or hot key has at most one owner");
    }
}

} // namespace

void ClusterState::setListener(Listener listener)
{
    m_listener = std::move(listener);
}

const View &ClusterState::view() const
{
    return m_view;
}

const CommandAnswer &ClusterState::lastAnswer() const
{
    return m_answer;
}

Epoch ClusterState::nextEpoch() const
{
    return m_nextEpoch;
}

ClusterState::Handler ClusterState::handlerOf(wire::Command::BodyCase body)
{
    using Command = wire::Command;
    static constexpr std::array<std::pair<Command::BodyCase, Handler>, 9> handlers{ {
        { Command::kEditTable, &ClusterState::editTable },
        { Command::kRegisterSession, &ClusterState::registerSession },
        { Command::kExpireSession, &ClusterState::expireSession },
        { Command::kCloseSession, &ClusterState::closeSession },
        { Command::kGrantPartitions, &ClusterState::grantPartitions },
        { Command::kBeginMoves, &ClusterState::beginMoves },
        { Command::kReleasePartitions, &ClusterState::releasePartitions },
        { Command::kSetHotKey, &ClusterState::setHotKey },
        { Command::kReleaseHotKey, &ClusterState::releaseHotKey },
    } };
    const auto *const it = std::find_if(handlers.begin(), handlers.end(), [body](const auto &entry) { return entry.first == body; });
    return it == handlers.end() ? nullptr : it->second;
}

void ClusterState::apply(LogIndex index, std::string_view command)
{
    TOUCANDECK_ASSERT(index > m_view.version(), "commands are applied in the order of the log");
    m_applying = index;
    m_answer = {};
    wire::Command parsed;
    // A command that cannot be read, or of a kind unknown to this version, is void but still counts as a version.
    if (!parsed.ParseFromArray(command.data(), static_cast<int>(command.size()))) {
        parsed.Clear();
    }
    if (const auto handler = handlerOf(parsed.body_case())) {
        (this->*handler)(parsed);
    } else {
        count(false);
    }
    m_deltas.push_back(takeDelta(index));
    if (m_deltas.size() > keptDeltas) {
        m_deltas.pop_front();
    }
    if (m_listener) {
        m_listener({ index, parsed, m_answer, m_deltas.back() });
    }
}

std::string ClusterState::snapshot() const
{
    wire::StateSnapshot snapshot;
    *snapshot.mutable_view() = m_view.toWire();
    for (const auto &it : m_editOrder) {
        auto &record = *snapshot.add_edits();
        record.set_request_id(it);
        *record.mutable_answer() = m_edits.at(it);
    }
    snapshot.set_next_epoch(m_nextEpoch.value);
    return snapshot.SerializeAsString();
}

Result<void> ClusterState::restore(std::string_view data)
{
    wire::StateSnapshot snapshot;
    if (!snapshot.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
        return fail(ErrorCode::Corrupt, "state snapshot cannot be read");
    }
    View view;
    if (!view.applySnapshot(snapshot.view())) {
        return fail(ErrorCode::Corrupt, "state snapshot does not match its digest");
    }
    m_view = std::move(view);
    m_applying = m_view.version();
    m_nextEpoch = Epoch{ std::max<std::uint64_t>(snapshot.next_epoch(), 1) };
    m_editOrder.clear();
    m_edits.clear();
    for (const auto &it : snapshot.edits()) {
        rememberEdit(it.request_id(), it.answer());
    }
    m_deltas.clear();
    m_answer = {};
    return {};
}

std::optional<wire::Deltas> ClusterState::deltasSince(LogIndex version) const
{
    wire::Deltas deltas;
    if (version == m_view.version()) {
        return deltas;
    }
    // Version 0 asks for the whole view.
    auto it
        = std::find_if(m_deltas.begin(), m_deltas.end(), [version](const auto &delta) { return delta.from_version() == version.value; });
    if (!version || it == m_deltas.end()) {
        return std::nullopt;
    }
    for (; it != m_deltas.end(); ++it) {
        *deltas.add_deltas() = *it;
    }
    return deltas;
}

bool ClusterState::isLiveSessionOf(std::uint64_t session, const std::string &service) const
{
    const auto *it = m_view.session(SessionId{ session });
    return it != nullptr && it->service() == service;
}

std::uint64_t ClusterState::takeEpoch()
{
    return m_nextEpoch.value++;
}

void ClusterState::count(bool accepted)
{
    ++(accepted ? m_answer.accepted : m_answer.voided);
}

void ClusterState::changeAssignment(const std::string &service, const wire::Assignment &changed)
{
    const auto *present = assignment(service, changed.partition());
    TOUCANDECK_ASSERT(present != nullptr, "only existing partitions are assigned");
    assertOwnerRules(*present, changed);
    TOUCANDECK_ASSERT(changed.owner() == 0 || isLiveSessionOf(changed.owner(), service), "an owner is a live session of the service");
    TOUCANDECK_ASSERT(changed.epoch() < m_nextEpoch.value, "epochs come from the counter");
    m_view.m_tables.putAssignment(service, changed);
    m_changedAssignments.emplace(service, changed.partition());
}

void ClusterState::changeHotKeyEntry(const wire::HotKey &changed)
{
    const KeyHash hash{ changed.key_hash() };
    const auto &all = m_view.hotKeys(changed.service());
    if (const auto it = all.find(hash); it != all.end()) {
        assertOwnerRules(it->second, changed);
    }
    TOUCANDECK_ASSERT(changed.owner() == 0 || isLiveSessionOf(changed.owner(), changed.service()),
                      "an owner is a live session of the service");
    TOUCANDECK_ASSERT(changed.epoch() < m_nextEpoch.value, "epochs come from the counter");
    m_view.m_tables.putHotKey(changed);
    m_changedHotKeys.emplace(changed.service(), hash);
}

wire::ViewDelta ClusterState::takeDelta(LogIndex index)
{
    wire::ViewDelta delta;
    delta.set_from_version(m_view.m_version.value);
    delta.set_to_version(index.value);
    delta.set_digest(m_view.digest());
    for (const auto &it : m_changedRows) {
        *delta.add_rows() = *m_view.row(it);
    }
    for (const auto &it : m_changedSessions) {
        if (const auto *session = m_view.session(it)) {
            *delta.add_sessions() = *session;
        } else {
            delta.add_removed_sessions(it.value);
        }
    }
    collectAssignments(delta);
    collectHotKeys(delta);
    m_changedRows.clear();
    m_changedSessions.clear();
    m_changedAssignments.clear();
    m_changedHotKeys.clear();
    m_view.m_caches.forget(delta);
    m_view.m_version = index;
    return delta;
}

void ClusterState::collectAssignments(wire::ViewDelta &delta) const
{
    wire::ServiceAssignments *service = nullptr;
    for (const auto &[name, partition] : m_changedAssignments) {
        if (service == nullptr || service->service() != name) {
            service = delta.add_services();
            service->set_service(name);
            service->set_partitions(m_view.serviceSettings(name).partitions);
        }
        *service->add_assignments() = *assignment(name, partition);
    }
}

void ClusterState::collectHotKeys(wire::ViewDelta &delta) const
{
    for (const auto &[name, hash] : m_changedHotKeys) {
        const auto &all = m_view.hotKeys(name);
        if (const auto it = all.find(hash); it != all.end()) {
            *delta.add_hot_keys() = it->second;
        } else {
            auto &removed = *delta.add_removed_hot_keys();
            removed.set_service(name);
            removed.set_key_hash(hash.value);
        }
    }
}

} // namespace Toucandeck
