#include "state/state_tables.h"

#include "common/key_hash.h"

namespace Toucandeck::internal
{

namespace
{

enum class ItemKind : char {
    Row = 'R',
    Session = 'S',
    Assignment = 'A',
    HotKey = 'H',
};

/// The kind and the service are part of the hash, so that equal items of two kinds or services do not cancel out in the digest.
std::uint64_t itemHash(ItemKind kind, std::string_view service, const google::protobuf::MessageLite &item)
{
    std::string buf;
    buf.push_back(static_cast<char>(kind));
    buf.append(service);
    buf.push_back('\0');
    item.AppendToString(&buf);
    return hashKey(buf).value;
}

std::uint64_t hashOf(const wire::TableRow &row)
{
    return itemHash(ItemKind::Row, {}, row);
}

std::uint64_t hashOf(const wire::RouterSession &session)
{
    return itemHash(ItemKind::Session, {}, session);
}

std::uint64_t hashOf(std::string_view service, const wire::Assignment &assignment)
{
    // A partition that was never owned counts as absent.
    return assignment.epoch() == 0 ? 0 : itemHash(ItemKind::Assignment, service, assignment);
}

std::uint64_t hashOf(const wire::HotKey &hotKey)
{
    return itemHash(ItemKind::HotKey, {}, hotKey);
}

std::uint64_t digestOf(const std::string &name, const ServiceTable &table)
{
    std::uint64_t digest = 0;
    for (const auto &it : table.assignments) {
        digest ^= hashOf(name, it);
    }
    for (const auto &[hash, it] : table.hotKeys) {
        digest ^= hashOf(it);
    }
    return digest;
}

std::pair<std::string, std::string> instanceKeyOf(const wire::RouterSession &session)
{
    return { session.failure_domain(), session.instance() };
}

void resize(std::vector<wire::Assignment> &assignments, std::uint32_t n)
{
    const auto old = assignments.size();
    assignments.resize(n);
    for (auto i = old; i < n; ++i) {
        assignments[i].set_partition(static_cast<std::uint32_t>(i));
    }
}

} // namespace

ServiceTable &StateTables::findOrCreateService(const std::string &name)
{
    return m_services[name];
}

void StateTables::removeServiceIfUnused(const std::string &name)
{
    const auto it = m_services.find(name);
    if (it != m_services.end() && !it->second.hasRow && it->second.instances.empty()) {
        m_services.erase(it);
    }
}

void StateTables::putRow(const wire::TableRow &row)
{
    const auto key = keyOf(row);
    const auto [it, isNew] = m_rows.try_emplace(key);
    m_digest ^= hashOf(row) ^ (isNew ? 0 : hashOf(it->second));
    it->second = row;
    if (!key.isService()) {
        return;
    }
    auto &table = findOrCreateService(key.service);
    table.hasRow = true;
    table.settings = serviceSettingsOf(row);
    if (table.assignments.size() != table.settings.partitions) {
        m_digest ^= digestOf(key.service, table);
        resize(table.assignments, table.settings.partitions);
        if (table.settings.partitions == 0) {
            table.hotKeys.clear();
        }
        m_digest ^= digestOf(key.service, table);
    }
}

void StateTables::putSession(const wire::RouterSession &session)
{
    const SessionId id{ session.session() };
    if (m_sessions.contains(id)) {
        removeSession(id);
    }
    m_digest ^= hashOf(session);
    m_sessions.emplace(id, session);
    findOrCreateService(session.service()).instances[instanceKeyOf(session)] = id;
}

void StateTables::removeSession(SessionId id)
{
    const auto it = m_sessions.find(id);
    if (it == m_sessions.end()) {
        return;
    }
    const auto service = it->second.service();
    auto &instances = findOrCreateService(service).instances;
    const auto entry = instances.find(instanceKeyOf(it->second));
    if (entry != instances.end() && entry->second == id) {
        instances.erase(entry);
    }
    m_digest ^= hashOf(it->second);
    m_sessions.erase(it);
    removeServiceIfUnused(service);
}

bool StateTables::putAssignment(std::string_view service, const wire::Assignment &assignment)
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || assignment.partition() >= it->second.assignments.size()) {
        return false;
    }
    auto &current = it->second.assignments[assignment.partition()];
    m_digest ^= hashOf(service, current) ^ hashOf(service, assignment);
    current = assignment;
    return true;
}

bool StateTables::putHotKey(const wire::HotKey &hotKey)
{
    const auto it = m_services.find(hotKey.service());
    if (it == m_services.end() || !it->second.settings.isPartitionedByKey()) {
        return false;
    }
    const auto [entry, isNew] = it->second.hotKeys.try_emplace(KeyHash{ hotKey.key_hash() });
    m_digest ^= hashOf(hotKey) ^ (isNew ? 0 : hashOf(entry->second));
    entry->second = hotKey;
    return true;
}

void StateTables::removeHotKey(std::string_view service, KeyHash hash)
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return;
    }
    const auto entry = it->second.hotKeys.find(hash);
    if (entry != it->second.hotKeys.end()) {
        m_digest ^= hashOf(entry->second);
        it->second.hotKeys.erase(entry);
    }
}

const ServiceTable *StateTables::service(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

const wire::TableRow *StateTables::row(const RowKey &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? nullptr : &it->second;
}

const wire::RouterSession *StateTables::session(SessionId id) const
{
    const auto it = m_sessions.find(id);
    return it == m_sessions.end() ? nullptr : &it->second;
}

const std::map<RowKey, wire::TableRow> &StateTables::rows() const
{
    return m_rows;
}

const std::map<SessionId, wire::RouterSession> &StateTables::sessions() const
{
    return m_sessions;
}

const std::map<std::string, ServiceTable, std::less<>> &StateTables::services() const
{
    return m_services;
}

std::uint64_t StateTables::digest() const
{
    return m_digest;
}

std::uint64_t StateTables::computeDigest() const
{
    std::uint64_t digest = 0;
    for (const auto &[key, it] : m_rows) {
        digest ^= hashOf(it);
    }
    for (const auto &[id, it] : m_sessions) {
        digest ^= hashOf(it);
    }
    for (const auto &[name, it] : m_services) {
        digest ^= digestOf(name, it);
    }
    return digest;
}

std::size_t RowKeyHash::operator()(const RowKeyParts &key) const
{
    // The factors give "a/b/c" and "b/a/c" different hashes.
    const std::hash<std::string_view> hash;
    return hash(key.service) * 31 * 31 + hash(key.failureDomain) * 31 + hash(key.instance);
}

std::size_t RowKeyHash::operator()(const RowKey &key) const
{
    return (*this)(RowKeyParts{ key.service, key.failureDomain, key.instance });
}

bool RowKeyEqual::operator()(const RowKey &a, const RowKey &b) const
{
    return a == b;
}

bool RowKeyEqual::operator()(const RowKeyParts &a, const RowKey &b) const
{
    return a.service == b.service && a.failureDomain == b.failureDomain && a.instance == b.instance;
}

bool RowKeyEqual::operator()(const RowKey &a, const RowKeyParts &b) const
{
    return (*this)(b, a);
}

} // namespace Toucandeck::internal
