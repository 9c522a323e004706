#pragma once

#include "ownership/grant_planner.h"
#include "ownership/hot_key_planner.h"
#include "ownership/leader_context.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::internal
{

/// Turns the decisions of HotKeyPlanner into commands, checks releases of hot keys, and ends overrides that serve no purpose. Hot
/// keys obey the same rules as partitions: no grant before the old owner has released the key or its lease has ended.
class HotKeyMoves
{
public:
    HotKeyMoves(LeaderContext &context, GrantPlanner &partitions);

    /// Forgets everything of an earlier leadership. Moves found in the state count as begun now.
    void reset();

    /// Notes when moves began.
    void applied(const wire::ViewDelta &delta);

    /// Proposes changes for this service.
    void plan(const std::string &service);

    /// Proposes to pass on the hot keys of a release.
    void release(const wire::Release &release);

private:
    using Place = std::pair<std::string, KeyHash>;
    using Reports = std::map<KeyHash, double>;

    Reports reportsOf(const std::string &service) const;
    std::vector<InstanceLoad> loadsOf(const std::string &service) const;
    HotKeyLoad loadOf(const std::string &service, KeyHash key, double rate) const;
    void maintain(const std::string &service, const wire::HotKey &hotKey);
    void regrant(const wire::HotKey &hotKey, const Owner &home);
    bool mustLeave(const wire::HotKey &hotKey) const;
    bool isBusy(const std::string &service, KeyHash key) const;
    bool isReleasable(const wire::Release &release, KeyHash key) const;
    PartitionId partitionOfKey(const std::string &service, KeyHash key) const;
    std::optional<SessionId> refugeFor(const wire::HotKey &hotKey) const;
    void proposeMove(const std::string &service, const HotKeyChange &change);
    void propose(const wire::Command &command, const std::string &service, KeyHash key);

    LeaderContext &m_context;
    GrantPlanner &m_partitions;
    std::map<std::string, HotKeyPlanner> m_planners;
    std::set<Place> m_pending;
    std::map<Place, LogIndex> m_moveBegan;
    LogIndex m_firstVersion;
};

} // namespace Toucandeck::internal
