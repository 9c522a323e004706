// Guards against two leaders, leaders without a quorum, votes that a crash forgets, and replicas that depose a healthy leader.
#include "fake_cluster.h"
#include "lone_replica.h"

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

wire::ReplicaMessage voteRequest(std::uint64_t sender, std::uint64_t term, std::uint64_t lastIndex, std::uint64_t lastTerm, bool preVote)
{
    auto message = LoneReplica::from(sender, term);
    message.mutable_vote_request()->set_last_index(lastIndex);
    message.mutable_vote_request()->set_last_term(lastTerm);
    message.mutable_vote_request()->set_pre_vote(preVote);
    return message;
}

bool granted(const LoneReplica &lone)
{
    return !lone.sent.empty() && lone.sent.back().vote_reply().granted();
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

TEST(Election, LeaderThatIsNotHeardStepsDown)
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
    const int away = (leader.slot + 1) % 3;
    cluster.isolate(away);
    cluster.run(5s);
    EXPECT_EQ(cluster.node(away).replica->term(), term) << "a pre-vote must not raise the term";
    cluster.network.heal();
    cluster.run(2s);
    EXPECT_TRUE(leader.replica->isLeader());
    EXPECT_EQ(leader.replica->term(), term);
}

TEST(Election, RefusesPreVotesWhileTheLeaderIsHeard)
{
    LoneReplica lone;
    lone.receive(LoneReplica::append(2, 2, 2, 1));
    lone.receive(voteRequest(3, 3, 9, 2, true));
    EXPECT_FALSE(granted(lone));
    EXPECT_EQ(lone.replica->term(), Term{ 2 });
    lone.clock.advance(lone.options.electionTimeoutMin);
    lone.receive(voteRequest(3, 3, 9, 2, true));
    EXPECT_TRUE(granted(lone));
}

TEST(Election, VoteIsSyncedBeforeItIsSentAndKeptAfterACrash)
{
    LoneReplica lone;
    lone.clock.advance(lone.options.electionTimeoutMin); // votes are refused for this time after a start
    const auto before = lone.store.syncCount();
    lone.receive(voteRequest(2, 5, 9, 4, false));
    ASSERT_TRUE(granted(lone));
    EXPECT_GT(lone.syncsAtSend.back(), before);
    EXPECT_EQ(lone.store.synced().hardState, (HardState{ Term{ 5 }, ReplicaId{ 2 } }));
    lone.start();
    lone.clock.advance(lone.options.electionTimeoutMin); // votes are refused for this time after a start
    lone.receive(voteRequest(3, 5, 9, 4, false));
    EXPECT_FALSE(granted(lone));
    lone.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_TRUE(granted(lone));
}

TEST(Election, RefusesVotesWhileTheLeaderIsHeardAndAfterAStart)
{
    LoneReplica lone;
    lone.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_EQ(lone.replica->term(), Term{ 1 }) << "a disregarded request does not change the term";
    lone.clock.advance(lone.options.electionTimeoutMin);
    lone.receive(LoneReplica::append(2, 5, 2, 1));
    lone.receive(voteRequest(3, 6, 9, 5, false));
    EXPECT_EQ(lone.replica->term(), Term{ 5 });
    lone.clock.advance(lone.options.electionTimeoutMin);
    lone.receive(voteRequest(3, 6, 9, 5, false));
    EXPECT_TRUE(granted(lone));
}

TEST(Election, VoteIsNotSentIfTheSyncFails)
{
    LoneReplica lone;
    lone.clock.advance(lone.options.electionTimeoutMin); // votes are refused for this time after a start
    lone.store.failNextSync();
    lone.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_TRUE(lone.sent.empty());
    ASSERT_TRUE(lone.replica->failure());
    EXPECT_EQ(lone.replica->failure()->code, ErrorCode::Io);
}

TEST(Election, RefusesCandidatesWithAnOlderLog)
{
    LoneReplica lone;
    lone.receive(LoneReplica::append(2, 4, 2, 1));
    lone.clock.advance(lone.options.electionTimeoutMin); // votes are refused for this time after a message of the leader
    lone.receive(voteRequest(3, 5, 9, 3, false));
    EXPECT_FALSE(granted(lone));
    lone.receive(voteRequest(3, 6, 1, 4, false));
    EXPECT_FALSE(granted(lone));
    lone.receive(voteRequest(3, 7, 2, 4, false));
    EXPECT_TRUE(granted(lone));
}

TEST(Election, EmptyReplicaThatIsNotNamedNeitherVotesNorStartsALog)
{
    LoneReplica lone(false);
    EXPECT_TRUE(lone.replica->membership().members.empty());
    for (int n = 0; n < 100; ++n) {
        lone.clock.advance(50ms);
        lone.replica->tick();
        lone.replica->flush();
    }
    EXPECT_TRUE(lone.sent.empty());
    EXPECT_EQ(lone.replica->lastIndex(), LogIndex{});
    lone.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_FALSE(granted(lone));
    lone.receive(voteRequest(2, 6, 9, 4, true));
    EXPECT_FALSE(granted(lone));
}

TEST(Election, NewIdentityIgnoresMessagesForTheOldOne)
{
    LoneReplica lone;
    lone.store.loseAll(ReplicaId{ 77 });
    lone.start();
    lone.receive(voteRequest(2, 5, 9, 4, false));
    EXPECT_TRUE(lone.sent.empty());
    EXPECT_EQ(lone.replica->term(), Term{});
}

TEST(Election, SingleReplicaLeadsAlone)
{
    FakeCluster cluster(5, 1);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 1s));
    EXPECT_TRUE(cluster.propose(0, "k=1"));
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.checker.acknowledgedCount() == 1; }, 100ms));
    EXPECT_TRUE(cluster.checker.violations().empty());
}
