// Guards against two simultaneous owners of a key: compares ownership under faults with a single global lock per key.
#include "ownership/faults.h"

#include "common/key_hash.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::OwnershipRun;
using namespace std::chrono_literals;

namespace
{

std::string firstViolation(const World &world)
{
    return world.checker.violations().empty() ? std::string() : world.checker.violations().front();
}

class OwnershipSimulation : public testing::TestWithParam<std::uint64_t>
{
};

} // namespace

TEST_P(OwnershipSimulation, AgreesWithAGlobalLock)
{
    World world(GetParam());
    world.settle();
    Faults faults(world);
    faults.chaos(15s);
    faults.heal();
    EXPECT_EQ(firstViolation(world), "");
    EXPECT_GT(world.checker.admissions(), 50'000U);
}

TEST_P(OwnershipSimulation, OneLossIsRepairedWithinASecond)
{
    World world(GetParam());
    world.settle();
    Faults faults(world);
    faults.loseOneRouter();
    faults.loseLeader();
    EXPECT_EQ(firstViolation(world), "");
    EXPECT_LE(faults.longestGapAfterLoss(), 1s);
}

TEST_P(OwnershipSimulation, DomainGetsNoWorkThreeSecondsAfterItIsTakenOut)
{
    World world(GetParam());
    world.settle();
    Faults faults(world);
    faults.takeDomainOutAndBack();
    EXPECT_EQ(firstViolation(world), "");
    EXPECT_LE(faults.longestGapAfterLoss(), 300ms) << "graceful moves take the time of a drain, not of a lease";
}

INSTANTIATE_TEST_SUITE_P(Seeds, OwnershipSimulation, testing::Values(11, 12, 13, 14));

TEST(HotKeyMoves, HotKeyMovesAwayAndReturns)
{
    World world(21);
    world.settle();
    auto *leader = world.leader();
    ASSERT_NE(leader, nullptr);
    const auto key = hashKey("clue-1");
    const auto partitionOwner = leader->view().ownerOf("clue", key)->session;
    for (auto &it : world.routers) {
        if (it->agent().session() == partitionOwner) {
            AgentLoad load;
            load.loadPermille = 950;
            auto &hot = load.hotKeys.emplace_back();
            hot.set_service("clue");
            hot.set_key_hash(key.value);
            hot.set_rate(400);
            it->agent().setLoad(load);
        }
    }
    world.run(2s);
    const auto owner = *leader->view().ownerOf("clue", key);
    EXPECT_TRUE(owner.hotKey);
    EXPECT_NE(owner.session, partitionOwner);
    for (auto &it : world.routers) {
        it->agent().setLoad({});
    }
    world.run(12s);
    EXPECT_FALSE(leader->view().ownerOf("clue", key)->hotKey);
    EXPECT_EQ(leader->view().ownerOf("clue", key)->session, partitionOwner);
    EXPECT_EQ(firstViolation(world), "");
}
