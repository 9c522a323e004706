#pragma once

#include "common/clock.h"

#include <cstddef>
#include <memory>

namespace Toucandeck
{

/// Quantiles of the latencies of the last one to two spans of time, from Boost.Histogram with logarithmic bins.
/// Quantiles are exact to 7%; latencies outside 10 us to 100 s count as the nearest of the two.
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

    /// Latency that a share @p q of the requests stays below; zero without any. @p q is from 0 to 1.
    Duration quantile(double q) const;

private:
    struct Bins;
    void rotate() const;

    const Clock &m_clock;
    Duration m_span;
    std::unique_ptr<Bins> m_bins;
};

} // namespace Toucandeck
