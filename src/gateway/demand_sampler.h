#pragma once

#include "common/time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace Toucandeck
{

/// Samples the demand by key over the last seconds and summarises its distribution by quantiles.
class DemandSampler
{
public:
    void record(std::uint32_t key, TimePoint now);

    /// Requests per second; during a surge, those of the last half second only.
    double rate(TimePoint now);
    /// True if the demand of the last half second is far above the average of the whole window.
    bool hasSurge(TimePoint now) const;
    /// Quantiles of the demand by key, ascending; each key represents the same share. Empty without demand or before one second is
    /// observed.
    std::vector<std::uint32_t> quantileKeys(TimePoint now);

    void clear();

private:
    struct Sample
    {
        std::uint32_t key;
        TimePoint at;
    };
    using Samples = std::deque<Sample>;

    void dropExpired(TimePoint now);
    Samples::const_iterator surgeBegin(TimePoint now) const;

    Samples m_samples; ///< Oldest first.
    TimePoint m_firstSampleTime;
};

} // namespace Toucandeck
