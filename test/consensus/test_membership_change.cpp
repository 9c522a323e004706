// Guards against learners promoted too early, replicas that vote under their old identity after losing their disk, and membership
// changes that block the log.
#include "fake_cluster.h"
#include "replica_fixture.h"

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
        return cluster.runUntil([&] { return cluster.leader() != nullptr && leader().isMembershipCommitted(); }, 3s);
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
    auto &newNode = cluster.addNode();
    const auto member = cluster.memberOf(newNode, ReplicaRole::Learner);
    cluster.isolate(newNode.slot);
    ASSERT_FALSE(change(leader().membership().with(member)));
    ASSERT_TRUE(awaitCommitted());
    cluster.run(2s);
    EXPECT_FALSE(leader().membership().isVoter(member.replica));
    auto prematureVoter = member;
    prematureVoter.role = ReplicaRole::Voter;
    EXPECT_EQ(change(leader().membership().with(prematureVoter)), ErrorCode::Refused);
    cluster.network.heal();
    ASSERT_TRUE(awaitVoter(member.replica));
    EXPECT_GE(newNode.store.syncedState().entries.back().index, cluster.checker.lastAcknowledged());
}

TEST(Learner, CountsInNoQuorum)
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    fixture.receiveAppendReply(2, 2);
    const auto membership = fixture.replica->membership().with({ ReplicaId{ 4 }, ReplicaRole::Learner, "a", {}, {} });
    ASSERT_FALSE(errorOf([&] { return fixture.replica->proposeMembership(membership); }));
    fixture.receiveAppendReply(2, 3);
    ASSERT_TRUE(fixture.replica->isMembershipCommitted());
    ASSERT_TRUE(fixture.replica->propose("k=1"));
    // The learner is not promoted while the other voters do not respond.
    fixture.clock.advance(fixture.options.electionTimeoutMax + 1ms);
    fixture.receiveAppendReply(4, 4);
    EXPECT_EQ(fixture.replica->commitIndex(), LogIndex{ 3 }) << "leader and learner are no quorum";
    EXPECT_FALSE(fixture.replica->membership().isVoter(ReplicaId{ 4 }));
    fixture.receiveAppendReply(2, 4);
    EXPECT_EQ(fixture.replica->commitIndex(), LogIndex{ 4 });
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
    ReplicaFixture fixture;
    fixture.becomeLeader();
    EXPECT_EQ(errorOf([&] { return fixture.replica->proposeMembership(fixture.replica->membership().without(ReplicaId{ 3 })); }),
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
    EXPECT_EQ(cluster.leader()->machine.values(), cluster.checker.referenceValues());
    EXPECT_TRUE(cluster.checker.violations().empty());
}

TEST(Removal, ReplicaThatRemovesItselfCampaignsUntilThisIsCommitted)
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    fixture.receiveAppendReply(2, 2);
    ASSERT_FALSE(errorOf([&] { return fixture.replica->proposeMembership(fixture.replica->membership().without(ReplicaId{ 1 })); }));
    fixture.replica->flush();
    fixture.clock.advance(fixture.options.electionTimeoutMax + 1ms);
    fixture.replica->tick();
    ASSERT_FALSE(fixture.replica->isLeader());
    fixture.becomeLeader();
    const auto last = fixture.replica->lastIndex().value;
    fixture.receiveAppendReply(2, last);
    EXPECT_TRUE(fixture.replica->isLeader()) << "replica 2 alone is no quorum of 2 and 3";
    fixture.receiveAppendReply(3, last);
    EXPECT_FALSE(fixture.replica->isLeader());
    fixture.sentMessages.clear();
    fixture.clock.advance(fixture.options.electionTimeoutMax + 1ms);
    fixture.replica->tick();
    fixture.replica->flush();
    EXPECT_TRUE(fixture.sentMessages.empty()) << "the removal is committed";
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
