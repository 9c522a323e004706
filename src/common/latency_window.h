#pragma once

#include "common/clock.h"

#include <cstddef>
#include <memory>

namespace Toucandeck
{

/// Quantiles of the latencies recorded in the last one to two spans of time, computed with Boost.Histogram with logarithmic bins.
/// The relative error of a quantile is at most 7%; latencies are clamped to 10 us to 100 s.
class LatencyWindow
{
public:
    /// @param span must be positive. Latencies are dropped when they are between one and two spans old.
    LatencyWindow(const Clock &clock, Duration span);
    ~LatencyWindow();
    LatencyWindow(LatencyWindow &&) noexcept;
    LatencyWindow &operator=(LatencyWindow &&) = delete;
    LatencyWindow(const LatencyWindow &) = delete;
    LatencyWindow &operator=(const LatencyWindow &) = delete;

    void record(Duration latency);

    /// Number of latencies that the quantiles are computed from.
    std::size_t count() const;

    /// Latency quantile @p q; zero if no latency has been recorded. @p q is from 0 to 1.
    Duration quantile(double q) const;

private:
    struct Bins;
    void rotate() const;

    const Clock &m_clock;
    Duration m_span;
    std::unique_ptr<Bins> m_bins;
};

} // namespace Toucandeck
