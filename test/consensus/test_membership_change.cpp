// Guards against learners that count too early, lost disks that vote under their old identity, and changes that block the log.
#include "fake_cluster.h"
#include "lone_replica.h"

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

class MembershipChangeTest : public testing::Test
{
protected:
    void SetUp() override
    {
        awaitLeader();
    }

    void awaitLeader()
    {
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 3s));
    }

    Replica &leader()
    {
        return *cluster.leader()->replica;
    }

    std::optional<ErrorCode> change(const Membership &membership)
    {
        return errorOf([&] { return leader().proposeMembership(membership); });
    }

    bool awaitCommitted()
    {
        return cluster.runUntil([&] { return cluster.leader() != nullptr && leader().membershipCommitted(); }, 3s);
    }

    bool awaitVoter(ReplicaId replica)
    {
        return cluster.runUntil([&] { return cluster.leader() != nullptr && leader().membership().isVoter(replica); }, 3s)
            && awaitCommitted();
    }

    void commit(int commands)
    {
        const auto wanted = cluster.checker.acknowledgedCount() + static_cast<std::uint64_t>(commands);
        for (int n = 0; n < commands; ++n) {
            cluster.propose(cluster.leader()->slot, fmt::format("k{}={}", n, n));
        }
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.checker.acknowledgedCount() == wanted; }, 2s));
    }

    FakeCluster cluster{ 31, 3 };
};

} // namespace

TEST_F(MembershipChangeTest, LearnerIsPromotedOnceItHasSyncedEverythingCommitted)
{
    commit(100);
    auto &fresh = cluster.addNode();
    const auto member = cluster.memberOf(fresh, ReplicaRole::Learner);
    cluster.isolate(fresh.slot);
    ASSERT_FALSE(change(leader().membership().with(member)));
    ASSERT_TRUE(awaitCommitted());
    cluster.run(2s);
    EXPECT_FALSE(leader().membership().isVoter(member.replica));
    auto early = member;
    early.role = ReplicaRole::Voter;
    EXPECT_EQ(change(leader().membership().with(early)), ErrorCode::Refused);
    cluster.network.heal();
    ASSERT_TRUE(awaitVoter(member.replica));
    EXPECT_GE(fresh.store.synced().entries.back().index, cluster.checker.lastAcknowledged());
}

TEST(Learner, CountsInNoQuorum)
{
    LoneReplica lone;
    lone.lead();
    lone.acknowledge(2, 2);
    const auto membership = lone.replica->membership().with({ ReplicaId{ 4 }, ReplicaRole::Learner, "a", {}, {} });
    ASSERT_FALSE(errorOf([&] { return lone.replica->proposeMembership(membership); }));
    lone.acknowledge(2, 3);
    ASSERT_TRUE(lone.replica->membershipCommitted());
    ASSERT_TRUE(lone.replica->propose("k=1"));
    // The learner is not promoted as long as the voters are silent.
    lone.clock.advance(lone.options.electionTimeoutMax + 1ms);
    lone.acknowledge(4, 4);
    EXPECT_EQ(lone.replica->commitIndex(), LogIndex{ 3 }) << "leader and learner are no quorum";
    EXPECT_FALSE(lone.replica->membership().isVoter(ReplicaId{ 4 }));
    lone.acknowledge(2, 4);
    EXPECT_EQ(lone.replica->commitIndex(), LogIndex{ 4 });
}

TEST_F(MembershipChangeTest, OneChangeAtATime)
{
    auto &one = cluster.addNode();
    auto &two = cluster.addNode();
    ASSERT_FALSE(change(leader().membership().with(cluster.memberOf(one, ReplicaRole::Learner))));
    EXPECT_EQ(change(leader().membership().with(cluster.memberOf(two, ReplicaRole::Learner))), ErrorCode::Conflict);
}

TEST_F(MembershipChangeTest, NewLeaderWaitsForAnEntryOfItsTerm)
{
    LoneReplica lone;
    lone.lead();
    EXPECT_EQ(errorOf([&] { return lone.replica->proposeMembership(lone.replica->membership().without(ReplicaId{ 3 })); }),
              ErrorCode::Unavailable);
}

TEST_F(MembershipChangeTest, RemovalThatWouldLeaveNoAnsweringQuorumIsRefused)
{
    const int silent = (cluster.leader()->slot + 1) % 3;
    const int healthy = (cluster.leader()->slot + 2) % 3;
    cluster.isolate(silent);
    cluster.run(400ms);
    const auto membership = leader().membership();
    EXPECT_EQ(change(membership.without(cluster.node(healthy).replica->id())), ErrorCode::Refused);
    EXPECT_TRUE(leader().isNeededForQuorum(cluster.node(healthy).replica->id()));
    EXPECT_FALSE(leader().isNeededForQuorum(cluster.node(silent).replica->id()));
    EXPECT_FALSE(change(membership.without(cluster.node(silent).replica->id())));
}

TEST_F(MembershipChangeTest, RemovedLeaderHandsOver)
{
    auto &old = *cluster.leader();
    ASSERT_FALSE(change(leader().membership().without(old.replica->id())));
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader() != &old; }, 3s));
    awaitLeader();
    EXPECT_FALSE(old.replica->isLeader());
    const auto term = leader().term();
    commit(5);
    cluster.run(3s);
    EXPECT_EQ(leader().term(), term) << "a removed replica must not disturb the others";
}

TEST_F(MembershipChangeTest, SecondLossRightAfterARepair)
{
    for (int round = 0; round < 3; ++round) {
        commit(20);
        const int slot = (cluster.leader()->slot + round) % 3;
        const auto old = cluster.node(slot).replica->id();
        cluster.loseDisk(slot);
        cluster.start(slot);
        awaitLeader();
        ASSERT_TRUE(cluster.runUntil([&] { return leader().isLeaderReady() && !change(leader().membership().without(old)); }, 2s));
        ASSERT_TRUE(awaitCommitted());
        ASSERT_FALSE(change(leader().membership().with(cluster.memberOf(cluster.node(slot), ReplicaRole::Learner))));
        ASSERT_TRUE(awaitVoter(cluster.node(slot).replica->id()));
    }
    commit(1);
    EXPECT_EQ(cluster.leader()->machine.values(), cluster.checker.naiveMap());
    EXPECT_TRUE(cluster.checker.violations().empty());
}

TEST(Removal, ReplicaThatRemovesItselfCampaignsUntilThisIsCommitted)
{
    LoneReplica lone;
    lone.lead();
    lone.acknowledge(2, 2);
    ASSERT_FALSE(errorOf([&] { return lone.replica->proposeMembership(lone.replica->membership().without(ReplicaId{ 1 })); }));
    lone.replica->flush();
    lone.clock.advance(lone.options.electionTimeoutMax + 1ms);
    lone.replica->tick();
    ASSERT_FALSE(lone.replica->isLeader());
    lone.lead();
    const auto last = lone.replica->lastIndex().value;
    lone.acknowledge(2, last);
    EXPECT_TRUE(lone.replica->isLeader()) << "replica 2 alone is no quorum of 2 and 3";
    lone.acknowledge(3, last);
    EXPECT_FALSE(lone.replica->isLeader());
    lone.sent.clear();
    lone.clock.advance(lone.options.electionTimeoutMax + 1ms);
    lone.replica->tick();
    lone.replica->flush();
    EXPECT_TRUE(lone.sent.empty()) << "the removal is committed";
}

TEST(FailureDomains, AcknowledgementNeedsTwo)
{
    FakeCluster cluster(32, 5, {}, { "a", "b", "a", "a", "b" });
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 3s));
    // Slots 0, 2 and 3 are a majority in one failure domain.
    cluster.isolate(1);
    cluster.isolate(4);
    const auto before = cluster.checker.acknowledgedCount();
    for (int n = 0; n < 2000; ++n) {
        cluster.step();
        if (auto *leader = cluster.leader()) {
            cluster.propose(leader->slot, "k=1");
        }
    }
    EXPECT_EQ(cluster.checker.acknowledgedCount(), before);
    cluster.network.heal();
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 3s));
}
