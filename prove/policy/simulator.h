#pragma once

#include "Toucandeck/Common"

#include <functional>
#include <queue>
#include <vector>

namespace Toucandeck::Model
{

/// Discrete-event simulator: runs callbacks in the order of virtual time. Runs with the same seed are identical.
class Simulator
{
public:
    explicit Simulator(std::uint64_t seed);

    /// Schedules a callback after a delay; a negative delay counts as zero.
    void after(Duration delay, std::function<void()> action);
    /// Runs all callbacks that are due until @p end.
    void runUntil(TimePoint end);

    TimePoint now() const;
    /// Returns true with the given probability.
    bool chance(double probability);
    /// Uniformly distributed duration in [from, to).
    Duration between(Duration from, Duration to);
    /// Exponentially distributed duration, capped at four times the mean.
    Duration exponential(Duration mean);

    ManualClock clock;
    SeededRandom random;
    std::uint64_t steps = 0; ///< Number of callbacks that have run.

private:
    struct Entry
    {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;
    };
    struct Later
    {
        bool operator()(const Entry &a, const Entry &b) const
        {
            return a.time != b.time ? a.time > b.time : a.order > b.order;
        }
    };

    std::priority_queue<Entry, std::vector<Entry>, Later> m_entries;
    std::uint64_t m_order = 0;
};

} // namespace Toucandeck::Model
