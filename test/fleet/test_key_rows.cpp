// Guards against keys that are in two rows or in none.
#include "fleet/key_rows.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;

TEST(KeyRows, BeginsWithoutHolders)
{
    const KeyRows rows;
    EXPECT_EQ(rows.at(0).holder, "");
    EXPECT_EQ(rows.at(kKeyCount - 1).holder, "");
}

TEST(KeyRows, SplitsAndMergesRows)
{
    KeyRows rows;
    rows.assign({ { 10, 19 }, "a", "ip", 1, {} });
    rows.assign({ { 20, 29 }, "a", "ip", 1, {} });
    EXPECT_EQ(rows.rowsHeldBy("a").size(), 1U);
    rows.assign({ { 15, 16 }, "b", "ip", 2, "token" });
    EXPECT_EQ(rows.rowsHeldBy("a").size(), 2U);
    EXPECT_EQ(rows.at(15).holder, "b");
    EXPECT_EQ(rows.at(17).fencingToken, 1U);
}

RC_GTEST_PROP(KeyRows, NamesEachKeyOnceAfterAnyAssignments, ())
{
    KeyRows rows;
    std::vector<int> expected(kKeyCount, 0);
    const auto n = *rc::gen::inRange(1, 30);
    for (int i = 1; i <= n; ++i) {
        const auto from = *rc::gen::inRange<std::uint32_t>(0, kKeyCount);
        const auto to = *rc::gen::inRange<std::uint32_t>(from, kKeyCount);
        rows.assign({ { from, to }, std::to_string(i), "ip", static_cast<std::uint64_t>(i), {} });
        std::fill(expected.begin() + from, expected.begin() + to + 1, i);
    }
    RC_ASSERT(KeyRows::isComplete(rows.rows()));
    for (std::uint32_t key = 0; key < kKeyCount; key += 97) {
        const auto holder = expected[key] == 0 ? std::string() : std::to_string(expected[key]);
        RC_ASSERT(rows.at(key).holder == holder);
    }
}
