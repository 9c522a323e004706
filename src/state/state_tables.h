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

/// State of one service.
struct ServiceTable
{
    ServiceSettings settings;
    bool hasRow = false; ///< Whether the row "service/*/*" exists.
    std::vector<wire::Assignment> assignments; ///< By partition number; epoch 0 if never owned.
    std::map<KeyHash, wire::HotKey> hotKeys; ///< Hot key overrides.
    std::map<std::pair<std::string, std::string>, SessionId> instances; ///< Sessions by failure domain and instance.
};

/// Rows, sessions and assignments with their digest. View stores its content here and ClusterState changes it in place, so both
/// compute the same digest.
class StateTables
{
public:
    void putRow(const wire::TableRow &row);
    void putSession(const wire::RouterSession &session);
    void removeSession(SessionId id);
    /// Returns false if the service has no such partition.
    bool putAssignment(std::string_view service, const wire::Assignment &assignment);
    /// Returns false if the service is not partitioned by key.
    bool putHotKey(const wire::HotKey &hotKey);
    void removeHotKey(std::string_view service, KeyHash hash);

    const ServiceTable *service(std::string_view name) const;
    const wire::TableRow *row(const RowKey &key) const;
    const wire::RouterSession *session(SessionId id) const;
    const std::map<RowKey, wire::TableRow> &rows() const;
    const std::map<SessionId, wire::RouterSession> &sessions() const;
    const std::map<std::string, ServiceTable, std::less<>> &services() const;

    /// Digest maintained with each change.
    std::uint64_t digest() const;
    /// Digest computed anew from all items.
    std::uint64_t computeDigest() const;

private:
    ServiceTable &findOrCreateService(const std::string &name);
    void removeServiceIfUnused(const std::string &name);

    std::map<RowKey, wire::TableRow> m_rows;
    std::map<SessionId, wire::RouterSession> m_sessions;
    std::map<std::string, ServiceTable, std::less<>> m_services;
    std::uint64_t m_digest = 0;
};

/// Non-owning row key, for lookups without allocation.
struct RowKeyParts
{
    std::string_view service;
    std::string_view failureDomain;
    std::string_view instance;
};

/// Hash of a row key, owning or not.
struct RowKeyHash
{
    using is_transparent = void;
    std::size_t operator()(const RowKeyParts &key) const;
    std::size_t operator()(const RowKey &key) const;
};

/// Equality of row keys, owning or not.
struct RowKeyEqual
{
    using is_transparent = void;
    bool operator()(const RowKey &a, const RowKey &b) const;
    bool operator()(const RowKeyParts &a, const RowKey &b) const;
    bool operator()(const RowKey &a, const RowKeyParts &b) const;
};

/// Effective rows by the key of the instance.
using EffectiveRowCache = std::unordered_map<RowKey, EffectiveRow, RowKeyHash, RowKeyEqual>;

} // namespace Toucandeck::internal
