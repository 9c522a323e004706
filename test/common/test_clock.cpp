// Guards against a test clock whose wall and monotonic time drift apart.
#include "common/clock.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

TEST(ManualClock, AdvancesBothClocks)
{
    ManualClock clock;
    const auto start = clock.now();
    const auto wallStart = clock.wallNow();
    clock.advance(1500ms);
    EXPECT_EQ(clock.now() - start, 1500ms);
    EXPECT_EQ(clock.wallNow() - wallStart, 1500ms);
}

TEST(ManualClock, WallClockMayJumpBack)
{
    ManualClock clock;
    const auto start = clock.now();
    const auto wallStart = clock.wallNow();
    clock.adjustWall(-10ms);
    EXPECT_EQ(clock.now(), start);
    EXPECT_EQ(clock.wallNow() - wallStart, -10ms);
}
