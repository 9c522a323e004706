// Guards against inaccurate quantiles and against expired latencies that still influence them.
#include "common/latency_window.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

TEST(LatencyWindow, QuantilesAreExactToABin)
{
    ManualClock clock;
    LatencyWindow window(clock, 1s);
    EXPECT_EQ(window.quantile(0.5), 0ns);
    for (int n = 1; n <= 1000; ++n) {
        window.record(n * 1ms);
    }
    EXPECT_NEAR(static_cast<double>(window.quantile(0.5).count()), 500e6, 35e6);
    EXPECT_NEAR(static_cast<double>(window.quantile(0.95).count()), 950e6, 67e6);
    EXPECT_NEAR(static_cast<double>(window.quantile(0.5).count()), 500e6, 35e6); // must not return the cached value of another quantile
    window.record(Duration::max());
    window.record(Duration::zero());
    EXPECT_EQ(window.count(), 1002U);
}

TEST(LatencyWindow, ForgetsAfterTwoSpans)
{
    ManualClock clock;
    LatencyWindow window(clock, 1s);
    window.record(5ms);
    clock.advance(1500ms);
    EXPECT_EQ(window.count(), 1U);
    window.record(50ms);
    clock.advance(600ms);
    EXPECT_EQ(window.count(), 1U);
    EXPECT_GT(window.quantile(0), 40ms);
    clock.advance(10s);
    EXPECT_EQ(window.count(), 0U);
}
