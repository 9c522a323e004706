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

    /// Requests per second; the latest alone while there is a surge.
    double rate(TimePoint now);
    /// The demand of the last half second is far above that before.
    bool surges(TimePoint now) const;
    /// Keys, ascending; each stands for the same share of the demand. Empty without demand.
    std::vector<std::uint32_t> points(TimePoint now);

    void clear();

private:
    struct Sample
    {
        std::uint32_t key;
        TimePoint at;
    };
    using Samples = std::deque<Sample>;

    void forget(TimePoint now);
    Samples::const_iterator surgeBegin(TimePoint now) const;

    Samples m_samples; ///< Oldest first.
    TimePoint m_since;
};

} // namespace Toucandeck
