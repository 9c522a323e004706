#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <cstddef>
#include <map>
#include <optional>
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

/// Decision on one hot key: move it to @p to; back home if @p to is the home.
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
    /// Each further move of the same key doubles its residence up to this time: a key that overloads every instance it comes to is
    /// not helped by moving.
    static constexpr Duration kMaxResidence = std::chrono::seconds(320);
    /// Least time between two changes of a service: several reports (200 ms) must show the effect of the first.
    static constexpr Duration kChangeInterval = std::chrono::seconds(1);
    /// An owner must exceed the least loaded instance by this much (thousandths of slots) before a key moves.
    static constexpr std::uint32_t kMoveGapPermille = 300;
    /// Owners below this load keep their keys, whatever the gap: queues do not form below it.
    static constexpr std::uint32_t kBusyPermille = 600;
    /// Requests per second below which no key gets an override; an instance of 9 slots serves several times as many.
    static constexpr double kMinRate = 50;
    /// An override is removed below this rate; the distance to kMinRate is the hysteresis.
    static constexpr double kReturnRate = 20;

    explicit HotKeyPlanner(const Clock &clock);

    /// At most one change per call.
    std::optional<HotKeyChange> plan(const std::vector<InstanceLoad> &instances, const std::vector<HotKeyLoad> &keys);

private:
    struct Placed
    {
        TimePoint since;
        Duration residence;
    };

    bool mayMove(const HotKeyLoad &key, TimePoint now) const;
    std::optional<HotKeyChange> returnHome(const std::vector<InstanceLoad> &instances, const std::vector<HotKeyLoad> &keys);
    std::optional<HotKeyChange> relieve(const std::vector<InstanceLoad> &instances, const std::vector<HotKeyLoad> &keys);
    HotKeyChange change(const HotKeyLoad &key, SessionId to);
    void forgetCold(TimePoint now);

    const Clock &m_clock;
    std::map<KeyHash, Placed> m_placed;
    std::optional<TimePoint> m_lastChange;
};

} // namespace Toucandeck
