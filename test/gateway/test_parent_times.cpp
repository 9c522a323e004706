// Guards against nested calls that leave their parent no time, or that get no time themselves.
#include "gateway/parent_times.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

TEST(ParentTimesTest, ReservesTheUsualTimeAfterEachCall)
{
    ParentTimes times;
    for (int i = 0; i < 100; ++i) {
        times.record("submit", 0, milliseconds(200));
        times.record("submit", 1, milliseconds(50));
    }
    EXPECT_EQ(times.reserve("submit", 0, milliseconds(900)), milliseconds(200));
    EXPECT_EQ(times.reserve("submit", 1, milliseconds(900)), milliseconds(50));
}

TEST(ParentTimesTest, ReservesAtMostAThirdOfTheTimeLeft)
{
    ParentTimes times;
    times.record("submit", 0, milliseconds(200));
    EXPECT_EQ(times.reserve("submit", 0, milliseconds(300)), milliseconds(100));
    EXPECT_EQ(times.reserve("submit", 0, milliseconds(-5)), Duration::zero());
    EXPECT_EQ(times.reserve("other", 0, milliseconds(300)), Duration::zero());
}
