#pragma once

#include "consensus/membership.h"

#include "common/time.h"
#include "log/logger.h"

#include <cstdint>

namespace Toucandeck
{

/// Settings of a replica. All replicas of a log use the same times.
struct ReplicaOptions
{
    /// Membership that an empty store starts with if it names the store's own id, equal on all replicas that it names.
    /// A replica whose store is empty and whose id is not named waits until a leader adds it. Ignored if the store holds
    /// a log or a term.
    Membership initialMembership;

    Duration heartbeat = std::chrono::milliseconds(50);

    /// An election starts after a random time in [electionTimeoutMin, electionTimeoutMax) without a leader. The lease
    /// budget of the design allows at most 300 ms.
    Duration electionTimeoutMin = std::chrono::milliseconds(150);
    Duration electionTimeoutMax = std::chrono::milliseconds(300);

    std::uint64_t snapshotInterval = 4096; ///< Entries applied between two snapshots.

    /// Entries kept in memory before the snapshot, so that a replica that lags a little needs no snapshot.
    std::uint64_t trailingEntries = 1024;

    std::size_t snapshotChunkBytes = 64 * 1024;
    std::size_t appendBytes = 256 * 1024; ///< Entries in one append message; a larger single entry is sent alone.
    std::size_t appendsInFlight = 16; ///< Unanswered append messages with entries per replica.

    Logger *logger = nullptr; ///< Optional; must outlive the replica.
};

} // namespace Toucandeck
