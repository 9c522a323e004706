#pragma once

#include "ownership/leader_context.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace Toucandeck::internal
{

/// Decides grants and moves of partitions by the placement strategy and proposes them; checks releases.
class GrantPlanner
{
public:
    explicit GrantPlanner(LeaderContext &context);

    /// Forgets everything of an earlier leadership. Moves found in the state count as begun now.
    void reset();

    /// Notes when moves began.
    void applied(const wire::ViewDelta &delta);

    /// Proposes what the placement wants for this service now.
    void plan(const std::string &service);

    /// Proposes to pass on the partitions of a release; leaves out those whose present move began after the router sent it.
    void release(const wire::Release &release);

    /// A proposal for the partition is pending.
    bool isPending(const std::string &service, PartitionId partition) const;

    /// Keeps the partition from being planned while a change of a hot key in it is proposed.
    void block(const std::string &service, PartitionId partition);
    void unblock(const std::string &service, PartitionId partition);

private:
    using Place = std::pair<std::string, std::uint32_t>;

    PlacementInput inputFor(const std::string &service) const;
    PlacedPartition placed(const std::string &service, const wire::Assignment &assignment) const;
    void addGrant(wire::GrantPartitions &command, const std::string &service, const PlacementChange &change) const;
    bool isReleasable(const wire::Release &release, std::uint32_t partition) const;
    void propose(const wire::Command &command, const std::set<Place> &places);

    LeaderContext &m_context;
    std::multiset<Place> m_pending;
    std::map<Place, LogIndex> m_moveBegan;
    LogIndex m_firstVersion;
};

} // namespace Toucandeck::internal
