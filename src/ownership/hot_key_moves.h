#pragma once

#include "ownership/grant_planner.h"
#include "ownership/hot_key_planner.h"
#include "ownership/leader_context.h"
#include "ownership/moves_in_progress.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::internal
{

/// Turns the decisions of HotKeyPlanner into commands, validates releases of hot keys, and maintains overrides: those whose owner was
/// lost go to the owner of the partition, redundant ones are removed, and those at an instance that may not own are moved away. Hot
/// keys obey the same rules as partitions: no grant before the old owner has released the key or its lease has expired.
class HotKeyMoves
{
public:
    HotKeyMoves(LeaderContext &context, GrantPlanner &partitions);

    /// Discards the state of an earlier leadership. Moves in progress count as begun at the current version.
    void reset();

    /// Records the versions at which moves began.
    void onDeltaApplied(const wire::ViewDelta &delta);

    /// Proposes the changes that are due for this service.
    void plan(const std::string &service);

    /// Proposes the handover of the released hot keys.
    void handleRelease(const wire::Release &release);

private:
    using ServiceKey = std::pair<std::string, KeyHash>;
    using KeyRates = std::map<KeyHash, double>;

    KeyRates reportedRates(const std::string &service) const;
    std::vector<InstanceLoad> instanceLoads(const std::string &service) const;
    HotKeyLoad hotKeyLoad(const std::string &service, KeyHash key, double rate) const;
    void maintainOverride(const std::string &service, const wire::HotKey &hotKey);
    void regrant(const wire::HotKey &hotKey, const Owner &partitionOwner);
    bool mustMoveAway(const wire::HotKey &hotKey) const;
    bool hasPendingChange(const std::string &service, KeyHash key) const;
    bool isReleasable(const wire::Release &release, KeyHash key) const;
    PartitionId partitionOfKey(const std::string &service, KeyHash key) const;
    std::optional<SessionId> receiverFor(const wire::HotKey &hotKey) const;
    void proposeMove(const std::string &service, const HotKeyChange &change);
    void propose(const wire::Command &command, const std::string &service, KeyHash key);

    LeaderContext &m_context;
    GrantPlanner &m_partitions;
    std::map<std::string, HotKeyPlanner> m_planners;
    std::set<ServiceKey> m_pendingKeys;
    MovesInProgress<ServiceKey> m_moves;
};

} // namespace Toucandeck::internal
