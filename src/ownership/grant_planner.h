#pragma once

#include "ownership/leader_context.h"
#include "ownership/moves_in_progress.h"

#include <set>
#include <string>
#include <utility>

namespace Toucandeck::internal
{

/// Proposes the grants and moves of partitions that the placement strategy decides on; validates releases.
class GrantPlanner
{
public:
    explicit GrantPlanner(LeaderContext &context);

    /// Discards the state of an earlier leadership. Moves in progress count as begun at the current version.
    void reset();

    /// Records the versions at which moves began.
    void onDeltaApplied(const wire::ViewDelta &delta);

    /// Proposes the changes that the placement strategy plans for this service.
    void plan(const std::string &service);

    /// Proposes the handover of the released partitions, except those whose current move began after the router sent the release.
    void handleRelease(const wire::Release &release);

    /// Whether a proposal for the partition is pending.
    bool isPending(const std::string &service, PartitionId partition) const;

    /// Excludes the partition from planning while a proposed change of a hot key in it is pending.
    void block(const std::string &service, PartitionId partition);
    void unblock(const std::string &service, PartitionId partition);

private:
    using ServicePartition = std::pair<std::string, std::uint32_t>;

    PlacementInput inputFor(const std::string &service) const;
    PlacedPartition placedPartition(const std::string &service, const wire::Assignment &assignment) const;
    void addGrant(wire::GrantPartitions &command, const std::string &service, const PlacementChange &change) const;
    bool isReleasable(const wire::Release &release, std::uint32_t partition) const;
    void propose(const wire::Command &command, const std::set<ServicePartition> &items);

    LeaderContext &m_context;
    std::multiset<ServicePartition> m_pendingPartitions; ///< Once for each pending proposal.
    MovesInProgress<ServicePartition> m_moves;
};

} // namespace Toucandeck::internal
