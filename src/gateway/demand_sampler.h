#pragma once

#include "common/time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace Toucandeck
{

/// Demand by key over the last seconds, as points that part it into equal shares.
class DemandSampler
{
public:
    void record(std::uint32_t key, TimePoint now);

    /// Requests per second.
    double rate(TimePoint now);
    /// Keys, ascending; each stands for the same share of the demand. Empty without demand.
    std::vector<std::uint32_t> points(TimePoint now);

    void clear();

private:
    void forget(TimePoint now);

    struct Sample
    {
        std::uint32_t key;
        TimePoint at;
    };

    std::deque<Sample> m_samples;
    TimePoint m_since;
};

} // namespace Toucandeck
