#include "state/view.h"

#include "common/key_hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Toucandeck
{

namespace internal
{

ViewCaches::ViewCaches(const ViewCaches &)
{
}

ViewCaches &ViewCaches::operator=(const ViewCaches &other)
{
    if (this != &other) {
        instances.clear();
        effectiveRows.clear();
    }
    return *this;
}

void ViewCaches::invalidate(const wire::ViewDelta &delta)
{
    if (delta.rows_size() > 0) {
        effectiveRows.clear();
    }
    if (delta.rows_size() > 0 || delta.sessions_size() > 0 || delta.removed_sessions_size() > 0) {
        instances.clear();
    }
}

} // namespace internal

namespace
{

/// Limit on cached effective rows, which bounds the memory if callers look up arbitrary names.
constexpr std::size_t maxCachedRows = 4096;

using Row = wire::TableRow;

std::optional<WallTime> crashGrantTimeFrom(std::int64_t ms)
{
    return ms == 0 ? std::nullopt : std::optional(WallTime(std::chrono::milliseconds(ms)));
}

/// Works for assignments and hot keys, which have the same fields.
template<class Item>
Owner ownerFrom(const Item &item, PartitionId partition, bool hotKey)
{
    return { partition,
             hotKey,
             SessionId{ item.owner() },
             Epoch{ item.epoch() },
             SessionId{ item.moving_to() },
             crashGrantTimeFrom(item.crash_granted_ms()),
             item.crashed() };
}

void applyNumbers(const Row &row, EffectiveRow &effective)
{
    if (row.has_weight()) {
        effective.weight = row.weight();
    }
    if (row.has_slots()) {
        effective.slots = row.slots();
        effective.slotsFromTable = true;
    }
    if (row.has_connections()) {
        effective.connections = row.connections();
        effective.connectionsFromTable = true;
    }
}

void applyState(const Row &row, EffectiveRow &effective)
{
    // A higher enum value is more restrictive.
    effective.state = std::max(effective.state, row.state());
    if (row.has_leave_time_ms()) {
        const WallTime time{ std::chrono::milliseconds(row.leave_time_ms()) };
        effective.leaveTime = effective.leaveTime ? std::min(*effective.leaveTime, time) : time;
    }
}

} // namespace

bool View::putItems(const wire::ViewDelta &delta)
{
    bool allApplied = true;
    for (const auto &it : delta.rows()) {
        m_tables.putRow(it);
    }
    for (const auto &it : delta.removed_sessions()) {
        m_tables.removeSession(SessionId{ it });
    }
    for (const auto &it : delta.sessions()) {
        m_tables.putSession(it);
    }
    for (const auto &service : delta.services()) {
        for (const auto &it : service.assignments()) {
            allApplied = m_tables.putAssignment(service.service(), it) && allApplied;
        }
    }
    for (const auto &it : delta.removed_hot_keys()) {
        m_tables.removeHotKey(it.service(), KeyHash{ it.key_hash() });
    }
    for (const auto &it : delta.hot_keys()) {
        allApplied = m_tables.putHotKey(it) && allApplied;
    }
    m_caches.invalidate(delta);
    return allApplied;
}

bool View::applyDelta(const wire::ViewDelta &delta)
{
    if (delta.from_version() != m_version.value || delta.to_version() <= delta.from_version()) {
        return false;
    }
    if (!putItems(delta) || m_tables.digest() != delta.digest()) {
        *this = View();
        return false;
    }
    m_version = LogIndex{ delta.to_version() };
    return true;
}

bool View::applySnapshot(const wire::ViewState &state)
{
    wire::ViewDelta all;
    *all.mutable_rows() = state.rows();
    *all.mutable_sessions() = state.sessions();
    *all.mutable_services() = state.services();
    *all.mutable_hot_keys() = state.hot_keys();
    *this = View();
    if (!putItems(all) || m_tables.digest() != state.digest()) {
        *this = View();
        return false;
    }
    m_version = LogIndex{ state.version() };
    return true;
}

wire::ViewState View::toWire() const
{
    wire::ViewState state;
    state.set_version(m_version.value);
    state.set_digest(m_tables.digest());
    for (const auto &[key, it] : m_tables.rows()) {
        *state.add_rows() = it;
    }
    for (const auto &[id, it] : m_tables.sessions()) {
        *state.add_sessions() = it;
    }
    for (const auto &[name, table] : m_tables.services()) {
        if (table.assignments.empty()) {
            continue;
        }
        auto &service = *state.add_services();
        service.set_service(name);
        service.set_partitions(table.settings.partitions);
        for (const auto &it : table.assignments) {
            if (it.epoch() != 0) {
                *service.add_assignments() = it;
            }
        }
        for (const auto &[hash, it] : table.hotKeys) {
            *state.add_hot_keys() = it;
        }
    }
    return state;
}

LogIndex View::version() const
{
    return m_version;
}

std::uint64_t View::digest() const
{
    return m_tables.digest();
}

std::uint64_t View::computeDigest() const
{
    return m_tables.computeDigest();
}

std::optional<Owner> View::ownerOf(std::string_view service, KeyHash hash) const
{
    const auto *table = m_tables.service(service);
    if (table == nullptr || table->assignments.empty()) {
        return std::nullopt;
    }
    const auto partition = partitionOf(hash, table->settings.partitions);
    const auto it = table->hotKeys.find(hash);
    return it == table->hotKeys.end() ? ownerFrom(table->assignments[partition.value], partition, false)
                                      : ownerFrom(it->second, partition, true);
}

std::optional<Owner> View::ownerOf(std::string_view service, PartitionId partition) const
{
    const auto all = assignments(service);
    return partition.value < all.size() ? std::optional(ownerFrom(all[partition.value], partition, false)) : std::nullopt;
}

const std::vector<Instance> &View::instancesOf(std::string_view service) const
{
    static const std::vector<Instance> none;
    if (const auto it = m_caches.instances.find(service); it != m_caches.instances.end()) {
        return it->second;
    }
    const auto *table = m_tables.service(service);
    if (table == nullptr) {
        return none;
    }
    std::vector<Instance> instances;
    for (const auto &[place, id] : table->instances) {
        instances.push_back({ id, m_tables.session(id), effectiveRow(service, place.first, place.second) });
    }
    return m_caches.instances.emplace(std::string(service), std::move(instances)).first->second;
}

const wire::RouterSession *View::session(SessionId id) const
{
    return m_tables.session(id);
}

SessionId View::sessionOf(std::string_view service, std::string_view failureDomain, std::string_view instance) const
{
    const auto *table = m_tables.service(service);
    if (table == nullptr) {
        return {};
    }
    const auto it = table->instances.find(std::pair(std::string(failureDomain), std::string(instance)));
    return it == table->instances.end() ? SessionId{} : it->second;
}

EffectiveRow View::effectiveRow(std::string_view service, std::string_view failureDomain, std::string_view instance) const
{
    auto &cache = m_caches.effectiveRows;
    const internal::RowKeyParts parts{ service, failureDomain, instance };
    if (const auto it = cache.find(parts); it != cache.end()) {
        return it->second;
    }
    if (cache.size() >= maxCachedRows) {
        cache.clear();
    }
    const auto row = computeEffectiveRow(service, failureDomain, instance);
    cache.emplace(RowKey{ std::string(service), std::string(failureDomain), std::string(instance) }, row);
    return row;
}

EffectiveRow View::computeEffectiveRow(std::string_view service, std::string_view failureDomain, std::string_view instance) const
{
    const std::string s(service);
    const std::string d(failureDomain);
    // From the least to the most specific row, so that later rows override the numbers of earlier ones.
    const std::array<RowKey, 4> keys{ { { "", d, "" }, { s, "", "" }, { s, d, "" }, { s, d, std::string(instance) } } };
    EffectiveRow effective;
    for (const auto &key : keys) {
        if (const auto *row = m_tables.row(key)) {
            applyNumbers(*row, effective);
            applyState(*row, effective);
        }
    }
    return effective;
}

const ServiceSettings &View::serviceSettings(std::string_view service) const
{
    static const ServiceSettings defaults;
    const auto *table = m_tables.service(service);
    return table == nullptr ? defaults : table->settings;
}

std::vector<std::string> View::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, table] : m_tables.services()) {
        names.push_back(name);
    }
    return names;
}

const std::map<RowKey, wire::TableRow> &View::rows() const
{
    return m_tables.rows();
}

const wire::TableRow *View::row(const RowKey &key) const
{
    return m_tables.row(key);
}

const std::map<SessionId, wire::RouterSession> &View::sessions() const
{
    return m_tables.sessions();
}

std::span<const wire::Assignment> View::assignments(std::string_view service) const
{
    const auto *table = m_tables.service(service);
    return table == nullptr ? std::span<const wire::Assignment>() : std::span<const wire::Assignment>(table->assignments);
}

const std::map<KeyHash, wire::HotKey> &View::hotKeys(std::string_view service) const
{
    static const std::map<KeyHash, wire::HotKey> none;
    const auto *table = m_tables.service(service);
    return table == nullptr ? none : table->hotKeys;
}

std::vector<PartitionId> View::partitionsOf(SessionId id) const
{
    std::vector<PartitionId> partitions;
    const auto *session = m_tables.session(id);
    if (session == nullptr) {
        return partitions;
    }
    for (const auto &it : assignments(session->service())) {
        if (it.owner() == id.value) {
            partitions.push_back(PartitionId{ it.partition() });
        }
    }
    return partitions;
}

} // namespace Toucandeck
