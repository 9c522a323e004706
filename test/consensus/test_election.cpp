// Guards against two leaders in a term, leaders without a quorum, votes lost in a crash, and replicas that depose a healthy leader.
#include "fake_cluster.h"
#include "replica_fixture.h"

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

wire::ReplicaMessage voteRequest(std::uint64_t sender, std::uint64_t term, std::uint64_t lastIndex, std::uint64_t lastTerm, bool preVote)
{
    auto message = ReplicaFixture::messageFrom(sender, term);
    message.mutable_vote_request()->set_last_index(lastIndex);
    message.mutable_vote_request()->set_last_term(lastTerm);
    message.mutable_vote_request()->set_pre_vote(preVote);
    return message;
}

bool granted(const ReplicaFixture &fixture)
{
    return !fixture.sentMessages.empty() && fixture.sentMessages.back().vote_reply().granted();
}

} // namespace

TEST(Election, ElectsOneLeaderWithinTheLeaseBudget)
{
    FakeCluster cluster(1, 3);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 1s));
    cluster.crash(cluster.leader()->slot);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 1s));
}

TEST(Election, LeaderWithoutQuorumStepsDown)
{
    FakeCluster cluster(2, 3);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 2s));
    auto &old = *cluster.leader();
    cluster.isolate(old.slot);
    EXPECT_TRUE(cluster.runUntil([&] { return !old.replica->isLeader(); }, 350ms));
}

TEST(Election, LeaderThatReceivesNoMessagesStepsDown)
{
    FakeCluster cluster(3, 3);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 2s));
    auto &old = *cluster.leader();
    for (int n = 0; n < 3; ++n) {
        cluster.network.block(n, old.slot);
    }
    EXPECT_TRUE(cluster.runUntil([&] { return !old.replica->isLeader(); }, 350ms));
}

TEST(Election, ReplicaThatReturnsDoesNotDeposeTheLeader)
{
    FakeCluster cluster(4, 3);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 2s));
    cluster.run(1s);
    const auto &leader = *cluster.leader();
    const auto term = leader.replica->term();
    const int isolated = (leader.slot + 1) % 3;
    cluster.isolate(isolated);
    cluster.run(5s);
    EXPECT_EQ(cluster.node(isolated).replica->term(), term) << "a pre-vote must not raise the term";
    cluster.network.heal();
    cluster.run(2s);
    EXPECT_TRUE(leader.replica->isLeader());
    EXPECT_EQ(leader.replica->term(), term);
}

TEST(Election, RefusesPreVotesWhileInContactWithTheLeader)
{
    ReplicaFixture fixture;
    fixture.receive(ReplicaFixture::appendRequest(2, 2, 2, 1));
    fixture.receive(voteRequest(3, 3, 9, 2, true));
    EXPECT_FALSE(granted(fixture));
    EXPECT_EQ(fixture.replica->term(), Term{ 2 });
    fixture.clock.advance(fixture.options.electionTimeoutMin);
    fixture.receive(voteRequest(3, 3, 9, 2, true));
    EXPECT_TRUE(granted(fixture));
}

TEST(Election, VoteIsSyncedBeforeItIsSentAndKeptAfterACrash)
{
    ReplicaFixture fixture;
    fixture.clock.advance(fixture.options.electionTimeoutMin); // votes are refused until then after a start
    const auto before = fixture.store.syncCount();
    fixture.receive(voteRequest(2, 5, 9, 4, false));
    ASSERT_TRUE(granted(fixture));
    EXPECT_GT(fixture.syncCountsAtSend.back(), before);
    EXPECT_EQ(fixture.store.syncedState().hardState, (HardState{ Term{ 5 }, ReplicaId{ 2 } }));
    fixture.restart();
    fixture.clock.advance(fixture.options.electionTimeoutMin); // votes are refused until then after a start
    fixture.receive(voteRequest(3, 5, 9, 4, false));
    EXPECT_FALSE(granted(fixture));
    fixture.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_TRUE(granted(fixture));
}

TEST(Election, RefusesVotesWhileInContactWithTheLeaderAndAfterAStart)
{
    ReplicaFixture fixture;
    fixture.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_EQ(fixture.replica->term(), Term{ 1 }) << "a dropped request does not change the term";
    fixture.clock.advance(fixture.options.electionTimeoutMin);
    fixture.receive(ReplicaFixture::appendRequest(2, 5, 2, 1));
    fixture.receive(voteRequest(3, 6, 9, 5, false));
    EXPECT_EQ(fixture.replica->term(), Term{ 5 });
    fixture.clock.advance(fixture.options.electionTimeoutMin);
    fixture.receive(voteRequest(3, 6, 9, 5, false));
    EXPECT_TRUE(granted(fixture));
}

TEST(Election, VoteIsNotSentIfTheSyncFails)
{
    ReplicaFixture fixture;
    fixture.clock.advance(fixture.options.electionTimeoutMin); // votes are refused until then after a start
    fixture.store.failNextSync();
    fixture.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_TRUE(fixture.sentMessages.empty());
    ASSERT_TRUE(fixture.replica->failure());
    EXPECT_EQ(fixture.replica->failure()->code, ErrorCode::Io);
}

TEST(Election, RefusesCandidatesWithAnOlderLog)
{
    ReplicaFixture fixture;
    fixture.receive(ReplicaFixture::appendRequest(2, 4, 2, 1));
    fixture.clock.advance(fixture.options.electionTimeoutMin); // votes are refused until then after a message from the leader
    fixture.receive(voteRequest(3, 5, 9, 3, false));
    EXPECT_FALSE(granted(fixture));
    fixture.receive(voteRequest(3, 6, 1, 4, false));
    EXPECT_FALSE(granted(fixture));
    fixture.receive(voteRequest(3, 7, 2, 4, false));
    EXPECT_TRUE(granted(fixture));
}

TEST(Election, EmptyReplicaThatIsNotNamedNeitherVotesNorStartsALog)
{
    ReplicaFixture fixture(false);
    EXPECT_TRUE(fixture.replica->membership().members.empty());
    for (int n = 0; n < 100; ++n) {
        fixture.clock.advance(50ms);
        fixture.replica->tick();
        fixture.replica->flush();
    }
    EXPECT_TRUE(fixture.sentMessages.empty());
    EXPECT_EQ(fixture.replica->lastIndex(), LogIndex{});
    fixture.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_FALSE(granted(fixture));
    fixture.receive(voteRequest(2, 6, 9, 4, true));
    EXPECT_FALSE(granted(fixture));
}

TEST(Election, NewIdentityIgnoresMessagesForTheOldOne)
{
    ReplicaFixture fixture;
    fixture.store.replaceDisk(ReplicaId{ 77 });
    fixture.restart();
    fixture.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_TRUE(fixture.sentMessages.empty());
    EXPECT_EQ(fixture.replica->term(), Term{});
}

TEST(Election, SingleReplicaLeadsAlone)
{
    FakeCluster cluster(5, 1);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 1s));
    EXPECT_TRUE(cluster.propose(0, "k=1"));
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.checker.acknowledgedCount() == 1; }, 100ms));
    EXPECT_TRUE(cluster.checker.violations().empty());
}
