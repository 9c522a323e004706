#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Toucandeck
{

/// Load of one instance as known to the leader.
struct InstanceLoad
{
    SessionId session;
    /// Load in thousandths of the slots of the instance.
    std::uint32_t loadPermille = 0;
    /// Whether the instance may receive hot keys: it may own, is ready, was renewed recently and is not cold.
    bool mayReceive = true;
};

/// A hot key that the routers report or that has an override.
struct HotKeyLoad
{
    KeyHash key;
    /// Requests per second; 0 if no longer reported.
    double rate = 0;
    /// Session that serves the key now.
    SessionId owner;
    /// Owner of the key's partition; differs from @p owner while an override is in force.
    SessionId partitionOwner;
    bool hasOverride = false;
    /// The key must not move now: a change of it or of its partition is pending, or its owner's session is missing or ending.
    bool isBlocked = false;
};

/// Decision to move one hot key to @p to; its override ends if that is the owner of its partition.
struct HotKeyChange
{
    KeyHash key;
    SessionId to;

    bool operator==(const HotKeyChange &) const = default;
};

/// Decides which hot keys get another owner than their partition. One per service; its state is kept in memory only and starts
/// empty with each leadership.
class HotKeyPlanner
{
public:
    /// Maximum number of overrides of a service, for the 16 hottest keys of the design size.
    static constexpr std::size_t kMaxOverrides = 16;
    /// Minimum time between two moves of a key, so that delayed load reports cannot move it back and forth.
    static constexpr Duration kMinResidence = std::chrono::seconds(10);
    /// Each further move of the same key doubles its residence up to this time, because moving does not help a key that overloads
    /// every instance.
    static constexpr Duration kMaxResidence = std::chrono::seconds(320);
    /// Minimum time between two changes of a service: several load reports (one per 200 ms) must show the effect of the first.
    static constexpr Duration kChangeInterval = std::chrono::seconds(1);
    /// Minimum load difference between the owner and the least loaded instance, in thousandths of slots, for a key to move.
    static constexpr std::uint32_t kMoveGapPermille = 300;
    /// Owners below this load (thousandths of slots) keep their keys whatever the difference, because no queues form below it.
    static constexpr std::uint32_t kBusyPermille = 600;
    /// Minimum requests per second for an override; an instance of 9 slots serves several times as many.
    static constexpr double kMinRate = 50;
    /// Requests per second below which an override is removed; the distance to kMinRate is the hysteresis.
    static constexpr double kReturnRate = 20;

    explicit HotKeyPlanner(const Clock &clock);

    /// At most one change per call.
    std::optional<HotKeyChange> plan(const std::vector<InstanceLoad> &instances, const std::vector<HotKeyLoad> &keys);

private:
    struct Residence
    {
        TimePoint start;
        Duration minDuration;
    };

    bool mayMove(const HotKeyLoad &key, TimePoint now) const;
    std::optional<HotKeyChange> returnToPartitionOwner(const std::vector<InstanceLoad> &instances, const std::vector<HotKeyLoad> &keys);
    std::optional<HotKeyChange> relieveOverloadedInstance(const std::vector<InstanceLoad> &instances, const std::vector<HotKeyLoad> &keys);
    HotKeyChange recordChange(const HotKeyLoad &key, SessionId to);
    void removeOldResidences(TimePoint now);

    const Clock &m_clock;
    std::map<KeyHash, Residence> m_residences;
    std::optional<TimePoint> m_lastChange;
};

} // namespace Toucandeck
