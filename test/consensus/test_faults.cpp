// Guards against violations of consistency under random combinations of faults. prove_consensus runs the same checks for longer.
#include "fault_driver.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;

namespace
{

void expectNoViolation(std::uint64_t seed, int replicas)
{
    FaultDriver driver(seed, replicas);
    driver.round();
    EXPECT_THAT(driver.cluster().checker.violations(), testing::IsEmpty());
    EXPECT_GT(driver.cluster().checker.acknowledgedCount(), 0U);
    EXPECT_GT(driver.cluster().confirmedReads, 0U);
}

} // namespace

TEST(Faults, ThreeReplicas)
{
    expectNoViolation(2026, 3);
}

TEST(Faults, FiveReplicas)
{
    expectNoViolation(1204, 5);
}

RC_GTEST_PROP(Faults, AnyNetworkKeepsOneSequence, ())
{
    FakeCluster cluster(*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::element(3, 5));
    cluster.network.loss = *rc::gen::inRange(0, 40) / 100.0;
    cluster.network.duplication = *rc::gen::inRange(0, 40) / 100.0;
    cluster.network.maxDelay = std::chrono::milliseconds(*rc::gen::inRange(1, 150));
    for (int n = 0; n < 3000; ++n) {
        cluster.step();
        if (auto *leader = cluster.leader(); leader != nullptr && n % 10 == 0) {
            cluster.propose(leader->slot, fmt::format("k{}={}", n % 7, n));
            cluster.read(leader->slot);
        }
    }
    RC_ASSERT(cluster.checker.violations().empty());
}
