#pragma once

#include "common/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Toucandeck::OwnershipRun
{

/// Real time of a simulated deployment, with the actions planned for it.
class VirtualTime
{
public:
    Duration now() const;
    void after(Duration delay, std::function<void()> action);
    /// Repeats forever.
    void every(Duration interval, const std::function<void()> &action);
    void runUntil(Duration end);
    std::uint64_t steps() const;

private:
    struct Event
    {
        Duration time;
        std::uint64_t number;
        std::function<void()> action;
    };

    struct Later
    {
        bool operator()(const Event &a, const Event &b) const
        {
            return a.time != b.time ? a.time > b.time : a.number > b.number;
        }
    };

    Duration m_now{ 0 };
    std::uint64_t m_planned = 0;
    std::uint64_t m_steps = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

/// Clock of one VM, with a constant offset and a drift within the bound.
class DriftingClock : public Clock
{
public:
    DriftingClock(const VirtualTime &time, std::int64_t driftPpm, Duration offset, Duration wallSkew);
    TimePoint now() const override;
    WallTime wallNow() const override;

private:
    const VirtualTime &m_time;
    std::int64_t m_driftPpm;
    Duration m_offset;
    Duration m_wallSkew;
};

} // namespace Toucandeck::OwnershipRun
