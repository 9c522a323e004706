#pragma once

#include "consensus/membership.h"

#include "common/time.h"
#include "log/logger.h"

#include <cstdint>

namespace Toucandeck
{

/// Options of a replica. All replicas of a log must use the same times.
struct ReplicaOptions
{
    /// Initial membership of an empty store, used if it lists the store's own id as a voter. Must be equal on all replicas that it
    /// lists. A replica that has an empty store and is not listed waits until a leader adds it. Ignored if the store holds a log
    /// or a term.
    Membership initialMembership;

    Duration heartbeat = std::chrono::milliseconds(50);

    /// A replica starts an election after a random time in [electionTimeoutMin, electionTimeoutMax) without a message from the
    /// leader. The lease budget of the design allows at most 300 ms.
    Duration electionTimeoutMin = std::chrono::milliseconds(150);
    Duration electionTimeoutMax = std::chrono::milliseconds(300);

    /// Limits on the entries applied between two snapshots. A replica that loads its log needs several times this memory.
    std::uint64_t snapshotInterval = 4096;
    std::size_t snapshotBytes = 8U << 20U;

    /// Limits on the entries before the snapshot that stay in memory, so that a replica that lags by fewer entries needs no snapshot.
    std::uint64_t trailingEntries = 1024;
    std::size_t trailingBytes = 4U << 20U;

    std::size_t snapshotChunkBytes = 64 * 1024;
    std::size_t appendBytes = 256 * 1024; ///< Maximum size of the entries in an append message; a larger entry is sent alone.
    std::size_t appendsInFlight = 16; ///< Maximum number of append messages with entries that await a reply, per replica.

    Logger *logger = nullptr; ///< Optional; must outlive the replica.
};

} // namespace Toucandeck
