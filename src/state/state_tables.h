#pragma once

#include "common/ids.h"
#include "state/effective_row.h"
#include "state/row_key.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Toucandeck::internal
{

/// Everything known about one service.
struct ServiceTable
{
    ServiceSettings settings;
    bool hasRow = false;
    std::vector<wire::Assignment> assignments; ///< By partition number; epoch 0: never owned.
    std::map<KeyHash, wire::HotKey> hotKeys;
    std::map<std::pair<std::string, std::string>, SessionId> instances; ///< By failure domain and instance.
};

/// Rows, sessions and assignments with their digest. Shared by View and ClusterState, so that both hold the same content.
class StateTables
{
public:
    void putRow(const wire::TableRow &row);
    void putSession(const wire::RouterSession &session);
    void removeSession(SessionId id);
    /// False if the service has no such partition.
    bool putAssignment(std::string_view service, const wire::Assignment &assignment);
    /// False if the service is not divided by key.
    bool putHotKey(const wire::HotKey &hotKey);
    void removeHotKey(std::string_view service, KeyHash hash);

    const ServiceTable *service(std::string_view name) const;
    const wire::TableRow *row(const RowKey &key) const;
    const wire::RouterSession *session(SessionId id) const;
    const std::map<RowKey, wire::TableRow> &rows() const;
    const std::map<SessionId, wire::RouterSession> &sessions() const;
    const std::map<std::string, ServiceTable, std::less<>> &services() const;

    std::uint64_t digest() const;
    std::uint64_t computeDigest() const;

private:
    ServiceTable &serviceOrNew(const std::string &name);
    void dropIfEmpty(const std::string &name);

    std::map<RowKey, wire::TableRow> m_rows;
    std::map<SessionId, wire::RouterSession> m_sessions;
    std::map<std::string, ServiceTable, std::less<>> m_services;
    std::uint64_t m_digest = 0;
};

/// Parts of a row key without ownership, for lookups that allocate nothing.
struct RowKeyParts
{
    std::string_view service;
    std::string_view failureDomain;
    std::string_view instance;
};

struct RowKeyHash
{
    using is_transparent = void;
    std::size_t operator()(const RowKeyParts &key) const;
    std::size_t operator()(const RowKey &key) const;
};

struct RowKeyEqual
{
    using is_transparent = void;
    bool operator()(const RowKey &a, const RowKey &b) const;
    bool operator()(const RowKeyParts &a, const RowKey &b) const;
    bool operator()(const RowKey &a, const RowKeyParts &b) const;
};

using EffectiveRowCache = std::unordered_map<RowKey, EffectiveRow, RowKeyHash, RowKeyEqual>;

} // namespace Toucandeck::internal
