// Guards against a deposed leader that still extends leases: isConfirmedLeader() must become false before another replica can be
// elected.
#include "fake_cluster.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

TEST(ConfirmedLeader, IsConfirmedWhileAQuorumAnswers)
{
    FakeCluster cluster(11, 3);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isConfirmedLeader(); }, 10s));
    for (int n = 0; n < 1000; ++n) {
        cluster.step();
        ASSERT_TRUE(cluster.leader()->replica->isConfirmedLeader());
    }
}

TEST(ConfirmedLeader, IsUnconfirmedBeforeAnotherReplicaLeads)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeCluster cluster(seed, 3);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isConfirmedLeader(); }, 10s));
        auto *old = cluster.leader();
        cluster.isolate(old->slot);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != old && cluster.leader() != nullptr; }, 10s));
        EXPECT_FALSE(old->replica->isConfirmedLeader());
        EXPECT_EQ(cluster.checker.violations().size(), 0U);
    }
}

TEST(ConfirmedLeader, RestartedVoterRefusesVotesForAnElectionTimeout)
{
    FakeCluster cluster(5, 3);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isConfirmedLeader(); }, 10s));
    auto *old = cluster.leader();
    const int voter = (old->slot + 1) % 3;
    const int candidate = (old->slot + 2) % 3;
    // The candidate has long lost contact with the leader; only the vote of the restarted voter could elect it.
    cluster.isolate(candidate);
    cluster.run(1s);
    cluster.isolate(old->slot);
    cluster.crash(voter);
    cluster.network.heal();
    cluster.isolate(old->slot);
    cluster.start(voter);
    cluster.run(100ms);
    EXPECT_FALSE(cluster.node(candidate).replica->isLeader());
}
