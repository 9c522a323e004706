// Guards against holders without keys, and against a hot key or adjacent busy keys that overload one holder while others idle.
#include "fleet/key_partition.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;

namespace
{

void expectComplete(const std::vector<PlannedRange> &plan, std::size_t holders)
{
    std::uint32_t next = 0;
    std::vector<int> rangeCounts(holders, 0);
    for (const auto &it : plan) {
        ASSERT_EQ(it.range.from, next);
        ASSERT_LE(it.range.from, it.range.to);
        next = it.range.to + 1;
        ++rangeCounts[it.holder];
    }
    EXPECT_EQ(next, kKeyCount);
    for (const auto it : rangeCounts) {
        EXPECT_EQ(it, 1);
    }
}

} // namespace

TEST(KeyPartition, PartsEvenlyWithoutDemand)
{
    expectComplete(partitionEvenly(6), 6);
    expectComplete(partitionByDemand({}, { 1, 1, 1 }), 3);
}

TEST(KeyPartition, AdjacentBusyKeysAreSpread)
{
    std::vector<DemandPoint> demand;
    for (std::uint32_t key = 30000; key < 30100; ++key) {
        demand.push_back({ key, 2 });
    }
    const std::vector<double> capacities(4, 100);
    const auto plan = partitionByDemand(demand, capacities);
    expectComplete(plan, 4);
    EXPECT_LE(peakUtilisation(plan, demand, capacities), 0.55);
    EXPECT_GE(peakUtilisation(partitionEvenly(4), demand, capacities), 1.9);
}

TEST(KeyPartition, AHotKeyGetsAHolderOfItsOwn)
{
    std::vector<DemandPoint> demand;
    for (std::uint32_t key = 0; key < 60000; key += 600) {
        demand.push_back({ key, 1 });
    }
    demand.push_back({ 30001, 60 });
    std::sort(demand.begin(), demand.end(), [](const auto &a, const auto &b) { return a.key < b.key; });
    const std::vector<double> capacities(6, 60);
    const auto plan = partitionByDemand(demand, capacities);
    expectComplete(plan, 6);
    EXPECT_LE(peakUtilisation(plan, demand, capacities), 1.01);
}

TEST(KeyPartition, FasterHoldersGetMore)
{
    std::vector<DemandPoint> demand;
    for (std::uint32_t key = 0; key < 60000; key += 100) {
        demand.push_back({ key, 1 });
    }
    const std::vector<double> capacities{ 100, 300 };
    const auto plan = partitionByDemand(demand, capacities);
    EXPECT_NEAR(static_cast<double>(plan[1].range.size()) / static_cast<double>(plan[0].range.size()), 3, 0.4);
}

RC_GTEST_PROP(KeyPartition, IsCompleteForAnyDemand, ())
{
    const auto holders = *rc::gen::inRange<std::size_t>(1, 12);
    const auto keys = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, kKeyCount));
    std::vector<DemandPoint> demand;
    demand.reserve(keys.size());
    for (const auto it : keys) {
        demand.push_back({ it, 1 });
    }
    std::sort(demand.begin(), demand.end(), [](const auto &a, const auto &b) { return a.key < b.key; });
    const auto plan = partitionByDemand(demand, std::vector<double>(holders, 1));
    std::uint32_t next = 0;
    for (const auto &it : plan) {
        RC_ASSERT(it.range.from == next);
        RC_ASSERT(it.range.to >= it.range.from);
        next = it.range.to + 1;
    }
    RC_ASSERT(next == kKeyCount);
    RC_ASSERT(plan.size() == holders);
}
