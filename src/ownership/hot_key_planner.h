#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck
{

/// Load of one instance as the leader knows it.
struct InstanceLoad
{
    SessionId session;
    /// Thousandths of its slots.
    std::uint32_t loadPermille = 0;
    /// Takes hot keys: may own, is ready, not cold.
    bool mayReceive = true;
};

/// A hot key as reported by the routers, or present as an override.
struct HotKeyLoad
{
    KeyHash key;
    /// Requests per second; 0 if no longer reported.
    double rate = 0;
    /// Session that serves the key now.
    SessionId owner;
    /// Owner of the key's partition; differs from the owner for an override in force.
    SessionId home;
    bool hasOverride = false;
    /// A move or proposal for the key or its partition is in progress.
    bool busy = false;
};

/// Decision on one hot key: set the override to @p to; back home if @p to is the home.
struct HotKeyChange
{
    KeyHash key;
    SessionId to;

    bool operator==(const HotKeyChange &) const = default;
};

/// Decides which single hot keys get an owner of their own. One per service; volatile, rebuilt with the leader.
class HotKeyPlanner
{
public:
    /// Most overrides of a service: the 16 hottest keys of the design size.
    static constexpr std::size_t kMaxOverrides = 16;
    /// A key stays this long where it was put, so that reports that lag behind cannot move it to and fro.
    static constexpr Duration kMinResidence = std::chrono::seconds(10);
    /// An owner must exceed the least loaded instance by this much (thousandths of slots) before a key moves.
    static constexpr std::uint32_t kMoveGapPermille = 300;
    /// Keys below this rate stay with, or return to, their partition.
    static constexpr double kMinRate = 50;
    /// Share of kMinRate below which an override is removed; the gap to kMinRate is the hysteresis.
    static constexpr double kReturnShare = 0.5;

    explicit HotKeyPlanner(const Clock &clock);

    /// At most one change per call, so that the next reports show its effect before another key moves.
    std::optional<HotKeyChange> plan(const std::vector<InstanceLoad> &instances, const std::vector<HotKeyLoad> &keys);

private:
    const Clock &m_clock;
    std::map<KeyHash, TimePoint> m_movedAt;
    std::optional<TimePoint> m_lastChange;
};

} // namespace Toucandeck
