#pragma once

#include "common/ids.h"
#include "state/effective_row.h"
#include "state/state_tables.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Toucandeck
{

/// Owner of a key or partition.
struct Owner
{
    PartitionId partition;
    bool hotKey = false; ///< Whether the owner comes from a hot key override instead of the partition.
    SessionId session; ///< None if there is no owner at present.
    Epoch epoch;
    SessionId movingTo; ///< Receiver of the graceful handover in progress; none if there is no handover.
    std::optional<WallTime> crashGrantTime; ///< Time of the last grant after the loss of an owner.
    bool crashed = false; ///< The last owner was lost and there is no new one yet.

    /// Whether a graceful handover is in progress.
    bool isMoving() const
    {
        return static_cast<bool>(movingTo);
    }
};

/// A registered instance of a service.
struct Instance
{
    SessionId id;
    const wire::RouterSession *session = nullptr; ///< Valid until the next change of the view.
    EffectiveRow row;
};

namespace internal
{

/// Cached results of lookups. A copy starts empty, because the results point into the view they were computed from.
struct ViewCaches
{
    ViewCaches() = default;
    ViewCaches(const ViewCaches &other);
    ViewCaches &operator=(const ViewCaches &other);
    ~ViewCaches() = default;

    /// Drops the results that the change may affect.
    void invalidate(const wire::ViewDelta &delta);

    std::map<std::string, std::vector<Instance>, std::less<>> instances;
    EffectiveRowCache effectiveRows;
};

} // namespace internal

/// Copy of the table, sessions and assignments in a router or controller. Lookups cache results and are not thread-safe.
class View
{
public:
    /// Applies the delta if it starts at version(), otherwise returns false and changes nothing. Also returns false if the digest
    /// then differs, which means that the view has diverged. The view is then reset to version 0, so that a full copy is fetched.
    bool applyDelta(const wire::ViewDelta &delta);

    /// Replaces the whole content. Returns false if the digest does not match; the view is then empty with version 0.
    bool applySnapshot(const wire::ViewState &state);

    /// The whole content, in a deterministic order.
    wire::ViewState toWire() const;

    /// Log index of the last change applied; 0 for an empty view.
    LogIndex version() const;

    /// XOR of the XXH3 hashes of all items, maintained with each change.
    std::uint64_t digest() const;

    /// The digest computed anew from all items, for consistency checks.
    std::uint64_t computeDigest() const;

    /// Owner of a key; std::nullopt if the service is not partitioned by key.
    std::optional<Owner> ownerOf(std::string_view service, KeyHash hash) const;

    /// Owner of a partition, without hot key overrides; std::nullopt if the service has no such partition.
    std::optional<Owner> ownerOf(std::string_view service, PartitionId partition) const;

    /// All registered instances of the service, sorted by failure domain and instance. Valid until the next change of the view.
    const std::vector<Instance> &instancesOf(std::string_view service) const;

    /// The session, or nullptr. Valid until the next change of the view.
    const wire::RouterSession *session(SessionId id) const;

    /// Session of the instance, or none.
    SessionId sessionOf(std::string_view service, std::string_view failureDomain, std::string_view instance) const;

    /// Settings of an instance, registered or not.
    EffectiveRow effectiveRow(std::string_view service, std::string_view failureDomain, std::string_view instance) const;

    /// Settings of the service; defaults if it is unknown. Valid until the next change of the view.
    const ServiceSettings &serviceSettings(std::string_view service) const;

    /// Names of the services that have a row or a session, sorted.
    std::vector<std::string> services() const;

    /// All rows, by key.
    const std::map<RowKey, wire::TableRow> &rows() const;

    /// The row with this key, or nullptr.
    const wire::TableRow *row(const RowKey &key) const;

    /// All sessions, by id.
    const std::map<SessionId, wire::RouterSession> &sessions() const;

    /// Assignments of all partitions of the service, by partition number; epoch 0 if never owned. Empty if not partitioned by key.
    std::span<const wire::Assignment> assignments(std::string_view service) const;

    /// Hot key overrides of the service, by hash of the key.
    const std::map<KeyHash, wire::HotKey> &hotKeys(std::string_view service) const;

    /// Partitions that the session owns, including those whose handover is in progress.
    std::vector<PartitionId> partitionsOf(SessionId id) const;

private:
    friend class ClusterState;
    friend class LeavePlan;

    EffectiveRow computeEffectiveRow(std::string_view service, std::string_view failureDomain, std::string_view instance) const;
    bool putItems(const wire::ViewDelta &delta);

    LogIndex m_version;
    internal::StateTables m_tables;
    mutable internal::ViewCaches m_caches;
};

} // namespace Toucandeck
