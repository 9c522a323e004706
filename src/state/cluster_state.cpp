#include "state/cluster_state.h"

#include "common/assert.h"

#include <algorithm>
#include <array>

namespace Toucandeck
{

namespace
{

/// Asserts that the epoch never decreases, and that a new owner gets a higher epoch and follows either no owner or a handover to it.
template<class Item>
void assertOwnershipInvariants(const Item &current, const Item &changed)
{
    TOUCANDECK_ASSERT(changed.epoch() >= current.epoch(), "the epoch of a partition or hot key only grows");
    if (changed.owner() != 0 && changed.owner() != current.owner()) {
        TOUCANDECK_ASSERT(changed.epoch() > current.epoch(), "each owner gets an epoch of its own");
        TOUCANDECK_ASSERT(current.owner() == 0 || current.moving_to() == changed.owner(), "a partition or hot key has at most one owner");
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
    m_currentIndex = index;
    m_answer = {};
    wire::Command parsed;
    // A command that cannot be parsed or is unknown to this version has no effect, but advances the version of the view.
    if (!parsed.ParseFromArray(command.data(), static_cast<int>(command.size()))) {
        parsed.Clear();
    }
    if (const auto handler = handlerOf(parsed.body_case())) {
        (this->*handler)(parsed);
    } else {
        countPart(false);
    }
    m_deltas.push_back(buildDelta(index));
    if (m_deltas.size() > maxRetainedDeltas) {
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
    for (const auto &it : m_editRequestIds) {
        auto &record = *snapshot.add_edits();
        record.set_request_id(it);
        *record.mutable_answer() = m_editAnswers.at(it);
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
    m_currentIndex = m_view.version();
    m_nextEpoch = Epoch{ std::max<std::uint64_t>(snapshot.next_epoch(), 1) };
    m_editRequestIds.clear();
    m_editAnswers.clear();
    for (const auto &it : snapshot.edits()) {
        storeEditAnswer(it.request_id(), it.answer());
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
    // Version 0 stands for an empty view, which needs a full copy.
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

std::uint64_t ClusterState::allocateEpoch()
{
    return m_nextEpoch.value++;
}

void ClusterState::countPart(bool isAccepted)
{
    ++(isAccepted ? m_answer.acceptedParts : m_answer.rejectedParts);
}

void ClusterState::updateAssignment(const std::string &service, const wire::Assignment &changed)
{
    const auto *current = assignment(service, changed.partition());
    TOUCANDECK_ASSERT(current != nullptr, "only existing partitions are assigned");
    assertOwnershipInvariants(*current, changed);
    TOUCANDECK_ASSERT(changed.owner() == 0 || isLiveSessionOf(changed.owner(), service), "an owner is a live session of the service");
    TOUCANDECK_ASSERT(changed.epoch() < m_nextEpoch.value, "epochs come from the counter");
    m_view.m_tables.putAssignment(service, changed);
    m_changedAssignments.emplace(service, changed.partition());
}

void ClusterState::updateHotKey(const wire::HotKey &changed)
{
    const KeyHash hash{ changed.key_hash() };
    const auto &all = m_view.hotKeys(changed.service());
    if (const auto it = all.find(hash); it != all.end()) {
        assertOwnershipInvariants(it->second, changed);
    }
    TOUCANDECK_ASSERT(changed.owner() == 0 || isLiveSessionOf(changed.owner(), changed.service()),
                      "an owner is a live session of the service");
    TOUCANDECK_ASSERT(changed.epoch() < m_nextEpoch.value, "epochs come from the counter");
    m_view.m_tables.putHotKey(changed);
    m_changedHotKeys.emplace(changed.service(), hash);
}

wire::ViewDelta ClusterState::buildDelta(LogIndex index)
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
    m_view.m_caches.invalidate(delta);
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
