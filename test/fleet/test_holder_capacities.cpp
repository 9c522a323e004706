// Guards against equal key ranges for backend servers of unequal speed.
#include "fleet/holder_capacities.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

wire::InstanceReport instance(std::uint32_t workUs, std::uint32_t speedPermille, std::uint32_t slots = 9)
{
    wire::InstanceReport it;
    it.set_service("svc");
    it.set_slots(slots);
    it.set_work_us(workUs);
    it.set_speed_permille(speedPermille);
    return it;
}

} // namespace

// Load pattern: requests wait for nested calls most of the time in the slot, so the time in the slot hides the speed.
TEST(HolderCapacities, FollowTheSpeedWhereNestedCallsHideIt)
{
    const auto slow = instance(210'000, 500);
    const auto fast = instance(190'000, 1500);
    HolderCapacities capacities;
    capacities.add(slow);
    capacities.add(fast);
    EXPECT_DOUBLE_EQ(capacities.of(fast) / capacities.of(slow), 3);
    EXPECT_DOUBLE_EQ(capacities.of(slow) + capacities.of(fast), 2 * 9 / 0.2);
}

// Failure: gateways of an earlier version report no speed; their backend servers must be comparable with the others.
TEST(HolderCapacities, WithoutASpeedFollowTheServiceTime)
{
    const auto older = instance(200'000, 0);
    const auto newer = instance(200'000, 1000);
    HolderCapacities capacities;
    capacities.add(older);
    capacities.add(newer);
    EXPECT_DOUBLE_EQ(capacities.of(older), 45);
    EXPECT_DOUBLE_EQ(capacities.of(newer), 45);
    EXPECT_DOUBLE_EQ(capacities.of(instance(0, 0)), 90); // The common default.
}

TEST(HolderCapacities, BoundWrongReports)
{
    const auto usual = instance(100'000, 1000);
    HolderCapacities capacities;
    capacities.add(usual);
    EXPECT_DOUBLE_EQ(capacities.of(instance(100'000, 1)), capacities.of(usual) / 4);
    EXPECT_DOUBLE_EQ(capacities.of(instance(100'000, 1'000'000)), capacities.of(usual) * 4);
}
