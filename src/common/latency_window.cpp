#include "common/latency_window.h"

#include "common/assert.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <optional>
#include <utility>

namespace Toucandeck
{

namespace
{

namespace bh = boost::histogram;

constexpr double kLowestMicroseconds = 10;
constexpr double kHighestMicroseconds = 100e6;
constexpr int kBinCount = 240; // 7 decades / 240 gives bins 7% wide
constexpr int kRecomputeAfterCount = 16; // a cached quantile is recomputed after at most this many new latencies

using LogAxis = bh::axis::regular<double, bh::axis::transform::log, bh::use_default, bh::axis::option::none_t>;
using Histogram = bh::histogram<std::tuple<LogAxis>, bh::dense_storage<std::uint32_t>>;

Histogram emptyHistogram()
{
    return { std::make_tuple(LogAxis(kBinCount, kLowestMicroseconds, kHighestMicroseconds)), bh::dense_storage<std::uint32_t>() };
}

double clampedMicroseconds(Duration latency)
{
    // The upper bound itself is outside the half-open axis.
    const auto micros = std::chrono::duration<double, std::micro>(latency).count();
    return std::clamp(micros, kLowestMicroseconds, kHighestMicroseconds * 0.999);
}

} // namespace

struct LatencyWindow::Bins
{
    std::array<Histogram, 2> histograms{ emptyHistogram(), emptyHistogram() };
    std::array<std::size_t, 2> counts{};
    std::size_t current = 0;
    TimePoint started;
    /// Last computed quantile, cached because every request queries the same one.
    double cachedQ = -1;
    Duration cachedLatency{};
    int countSinceUpdate = 0;
};

LatencyWindow::LatencyWindow(const Clock &clock, Duration span)
    : m_clock(clock)
    , m_span(span)
    , m_bins(std::make_unique<Bins>())
{
    TOUCANDECK_ASSERT(span > Duration::zero(), "the window has a length");
    m_bins->started = clock.now();
}

LatencyWindow::~LatencyWindow() = default;
LatencyWindow::LatencyWindow(LatencyWindow &&) noexcept = default;

void LatencyWindow::rotate() const
{
    auto &bins = *m_bins;
    const auto age = m_clock.now() - bins.started;
    if (age < m_span) {
        return;
    }
    const int turns = age < 2 * m_span ? 1 : 2;
    for (int n = 0; n < turns; ++n) {
        bins.current = 1 - bins.current;
        bins.histograms[bins.current].reset();
        bins.counts[bins.current] = 0;
    }
    bins.started = turns == 1 ? bins.started + m_span : m_clock.now();
    bins.cachedQ = -1;
}

void LatencyWindow::record(Duration latency)
{
    rotate();
    m_bins->histograms[m_bins->current](clampedMicroseconds(latency));
    ++m_bins->counts[m_bins->current];
    ++m_bins->countSinceUpdate;
}

std::size_t LatencyWindow::count() const
{
    rotate();
    return m_bins->counts[0] + m_bins->counts[1];
}

Duration LatencyWindow::quantile(double q) const
{
    TOUCANDECK_ASSERT(q >= 0 && q <= 1, "a share is from 0 to 1");
    const auto total = count();
    if (total == 0) {
        return Duration::zero();
    }
    auto &bins = *m_bins;
    if (bins.cachedQ == q && bins.countSinceUpdate < kRecomputeAfterCount && total > kRecomputeAfterCount) {
        return bins.cachedLatency;
    }
    const auto targetCount = q * static_cast<double>(total);
    double cumulativeCount = 0;
    int bin = 0;
    while (bin < kBinCount - 1) {
        cumulativeCount += bins.histograms[0].at(bin) + bins.histograms[1].at(bin);
        if (cumulativeCount > 0 && cumulativeCount >= targetCount) {
            break;
        }
        ++bin;
    }
    const auto micros = bins.histograms[0].axis().bin(bin).upper();
    bins.cachedQ = q;
    bins.countSinceUpdate = 0;
    bins.cachedLatency = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(micros));
    return bins.cachedLatency;
}

} // namespace Toucandeck
