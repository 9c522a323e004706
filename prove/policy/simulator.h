#pragma once

#include "Toucandeck/Common"

#include <functional>
#include <queue>
#include <vector>

namespace Toucandeck::Model
{

/// Runs callbacks in the order of virtual time. Everything it decides comes from the seed.
class Simulator
{
public:
    explicit Simulator(std::uint64_t seed);

    void after(Duration delay, std::function<void()> action);
    void runUntil(TimePoint end);

    TimePoint now() const;
    bool chance(double probability);
    /// Uniform over [from, to).
    Duration between(Duration from, Duration to);
    /// Exponential, cut off at four times the mean.
    Duration exponential(Duration mean);

    ManualClock clock;
    SeededRandom random;
    std::uint64_t steps = 0;

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
