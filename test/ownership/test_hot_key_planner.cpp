// Guards against hot keys that stay on an overloaded instance, flap, or use up the overrides.
#include "ownership/hot_key_planner.h"

#include "common/random_source.h"

#include <gtest/gtest.h>
#include <map>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

const SessionId kBusy{ 1 };
const SessionId kIdle{ 2 };
const SessionId kMiddle{ 3 };

HotKeyLoad keyLoad(std::uint64_t key, double rate, SessionId owner = kBusy)
{
    HotKeyLoad load;
    load.key = KeyHash{ key };
    load.rate = rate;
    load.owner = owner;
    load.partitionOwner = owner;
    return load;
}

HotKeyLoad overridden(std::uint64_t key, double rate, SessionId owner, SessionId partitionOwner)
{
    auto load = keyLoad(key, rate, owner);
    load.partitionOwner = partitionOwner;
    load.hasOverride = true;
    return load;
}

class HotKeyPlannerTest : public testing::Test
{
protected:
    ManualClock clock;
    HotKeyPlanner planner{ clock };
    std::vector<InstanceLoad> instances{ { kBusy, 950, true }, { kIdle, 100, true }, { kMiddle, 500, true } };
};

} // namespace

TEST_F(HotKeyPlannerTest, MovesTheHottestKeyToTheLeastLoadedInstance)
{
    const std::vector keys{ keyLoad(7, 100), keyLoad(8, 400) };
    EXPECT_EQ(planner.plan(instances, keys), (HotKeyChange{ KeyHash{ 8 }, kIdle }));
}

TEST_F(HotKeyPlannerTest, OneChangeAtATime)
{
    const std::vector keys{ keyLoad(7, 100), keyLoad(8, 400) };
    ASSERT_TRUE(planner.plan(instances, keys));
    EXPECT_FALSE(planner.plan(instances, keys));
    clock.advance(1s);
    EXPECT_EQ(planner.plan(instances, keys), (HotKeyChange{ KeyHash{ 7 }, kIdle }));
}

TEST_F(HotKeyPlannerTest, LeavesKeysAloneWithoutNeed)
{
    EXPECT_FALSE(planner.plan(instances, { keyLoad(7, HotKeyPlanner::kMinRate - 1) }));
    EXPECT_FALSE(planner.plan({ { kBusy, 590, true }, { kIdle, 0, true } }, { keyLoad(7, 400) }));
    EXPECT_FALSE(planner.plan({ { kBusy, 950, true }, { kIdle, 651, true } }, { keyLoad(7, 400) }));
    EXPECT_FALSE(planner.plan({ { kBusy, 950, true }, { kIdle, 100, false } }, { keyLoad(7, 400) }));
    auto moving = keyLoad(7, 400);
    moving.isBlocked = true;
    EXPECT_FALSE(planner.plan(instances, { moving }));
}

TEST_F(HotKeyPlannerTest, KeyStaysForItsResidenceThenReturnsToThePartitionOwnerOnceCold)
{
    ASSERT_TRUE(planner.plan(instances, { keyLoad(7, 400) }));
    clock.advance(HotKeyPlanner::kMinResidence - 1ms);
    EXPECT_FALSE(planner.plan(instances, { overridden(7, 0, kIdle, kBusy) }));
    clock.advance(1ms);
    EXPECT_FALSE(planner.plan(instances, { overridden(7, HotKeyPlanner::kReturnRate, kIdle, kBusy) }));
    EXPECT_EQ(planner.plan(instances, { overridden(7, 0, kIdle, kBusy) }), (HotKeyChange{ KeyHash{ 7 }, kBusy }));
}

TEST_F(HotKeyPlannerTest, NoMoreThanSixteenOverrides)
{
    std::vector<HotKeyLoad> keys{ keyLoad(99, 1000) };
    for (std::uint64_t i = 0; i < HotKeyPlanner::kMaxOverrides; ++i) {
        keys.push_back(overridden(i + 1, 100, kMiddle, kBusy));
    }
    EXPECT_FALSE(planner.plan(instances, keys));
    keys.pop_back();
    EXPECT_EQ(planner.plan(instances, keys), (HotKeyChange{ KeyHash{ 99 }, kIdle }));
}

TEST_F(HotKeyPlannerTest, KeyThatOverloadsEveryInstanceMovesLessAndLess)
{
    // The owner of the key is always fully loaded and the other instances are nearly idle.
    SessionId owner = kBusy;
    int moves = 0;
    for (int second = 0; second < 320; ++second) {
        std::vector<InstanceLoad> loads{ { kBusy, 100, true }, { kIdle, 100, true }, { kMiddle, 100, true } };
        loads[owner.value - 1].loadPermille = 1000;
        auto key = overridden(7, 900, owner, kBusy);
        key.hasOverride = owner != kBusy;
        if (const auto change = planner.plan(loads, { key })) {
            owner = change->to;
            ++moves;
        }
        clock.advance(1s);
    }
    EXPECT_LE(moves, 6);
}

TEST_F(HotKeyPlannerTest, NeverBreaksResidenceWithRandomReports)
{
    SeededRandom random(20261204);
    std::map<KeyHash, TimePoint> movedAt;
    std::map<KeyHash, SessionId> owners;
    for (int step = 0; step < 5000; ++step) {
        for (auto &it : instances) {
            it.loadPermille = static_cast<std::uint32_t>(random.below(1100));
        }
        std::vector<HotKeyLoad> keys;
        for (std::uint64_t key = 1; key <= 30; ++key) {
            const auto owner = owners.try_emplace(KeyHash{ key }, kBusy).first->second;
            keys.push_back(overridden(key, static_cast<double>(random.below(300)), owner, kBusy));
            keys.back().hasOverride = owner != kBusy;
        }
        if (const auto change = planner.plan(instances, keys)) {
            const auto last = movedAt.find(change->key);
            ASSERT_TRUE(last == movedAt.end() || clock.now() - last->second >= HotKeyPlanner::kMinResidence);
            movedAt[change->key] = clock.now();
            owners[change->key] = change->to;
        }
        const auto away = std::count_if(owners.begin(), owners.end(), [](const auto &it) { return it.second != kBusy; });
        ASSERT_LE(static_cast<std::size_t>(away), HotKeyPlanner::kMaxOverrides);
        clock.advance(200ms);
    }
}
