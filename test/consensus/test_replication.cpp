// Guards against acknowledgements before the sync, lost or changed committed entries, and a sync per entry.
#include "fake_cluster.h"
#include "lone_replica.h"

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

const wire::AppendReply *lastReply(const LoneReplica &lone)
{
    const auto *message = lone.last([](const wire::ReplicaMessage &it) { return it.has_append_reply(); });
    return message == nullptr ? nullptr : &message->append_reply();
}

void awaitLeader(FakeCluster &cluster)
{
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 2s));
}

} // namespace

TEST(Replication, SyncsAllProposalsOfAnIterationOnce)
{
    LoneReplica lone;
    lone.lead();
    const auto before = lone.store.syncCount();
    const auto sentBefore = lone.sent.size();
    for (int n = 0; n < 100; ++n) {
        EXPECT_TRUE(lone.replica->propose("k=1"));
    }
    EXPECT_EQ(lone.store.syncCount(), before);
    lone.acknowledge(2, 2); // ends probing, so that the entries leave in one message
    EXPECT_EQ(lone.store.syncCount(), before + 1);
    EXPECT_LE(lone.sent.size(), sentBefore + 2);
}

TEST(Replication, FollowerAcknowledgesOnlyAfterTheSync)
{
    LoneReplica lone;
    lone.replica->receive(LoneReplica::append(2, 2, 2, 1));
    EXPECT_TRUE(lone.sent.empty());
    const auto before = lone.store.syncCount();
    lone.replica->flush();
    ASSERT_NE(lastReply(lone), nullptr);
    EXPECT_TRUE(lastReply(lone)->accepted());
    EXPECT_GT(lone.syncsAtSend.back(), before);
    EXPECT_EQ(lone.store.synced().entries.back().index, LogIndex{ 2 });
}

TEST(Replication, FollowerIsSilentIfTheSyncFails)
{
    LoneReplica lone;
    lone.store.failNextSync();
    lone.receive(LoneReplica::append(2, 2, 2, 1));
    EXPECT_TRUE(lone.sent.empty());
    EXPECT_TRUE(lone.replica->failure());
}

TEST(Replication, LeaderCountsItselfOnlyAfterTheSync)
{
    LoneReplica lone;
    lone.lead();
    ASSERT_TRUE(lone.replica->propose("k=1"));
    bool applied = false;
    lone.replica->onOutcome(LogIndex{ 3 }, [&](ProposalOutcome) { applied = true; });
    auto reply = LoneReplica::from(2, lone.replica->term().value);
    reply.mutable_append_reply()->set_accepted(true);
    reply.mutable_append_reply()->set_index(3);
    lone.replica->receive(reply);
    EXPECT_EQ(lone.replica->commitIndex(), LogIndex{}) << "nothing of this leader is synced yet";
    EXPECT_FALSE(applied);
    lone.replica->flush();
    EXPECT_EQ(lone.replica->commitIndex(), LogIndex{ 3 });
    EXPECT_TRUE(applied);
}

TEST(Replication, EntryOfAnEarlierTermIsNotCommittedByCounting)
{
    LoneReplica lone;
    lone.receive(LoneReplica::append(2, 2, 2, 1));
    lone.lead();
    ASSERT_EQ(lone.replica->lastIndex(), LogIndex{ 3 });
    lone.acknowledge(3, 2);
    EXPECT_EQ(lone.replica->commitIndex(), LogIndex{}) << "entry 2 is on a quorum but of an earlier term";
    lone.acknowledge(3, 3);
    EXPECT_EQ(lone.replica->commitIndex(), LogIndex{ 3 });
}

TEST(Replication, ConflictingEntriesAreReplacedAndGapsRefused)
{
    LoneReplica lone;
    lone.receive(LoneReplica::append(2, 2, 2, 1));
    lone.receive(LoneReplica::append(2, 2, 3, 2));
    lone.receive(LoneReplica::append(3, 4, 9, 4));
    ASSERT_NE(lastReply(lone), nullptr);
    EXPECT_FALSE(lastReply(lone)->accepted());
    EXPECT_EQ(lastReply(lone)->index(), 4U) << "the hint is the end of this log";
    lone.receive(LoneReplica::append(3, 4, 3, 3));
    EXPECT_FALSE(lastReply(lone)->accepted());
    EXPECT_EQ(lastReply(lone)->index(), 2U) << "the hint is the first entry of the conflicting term";
    lone.receive(LoneReplica::append(3, 4, 2, 1));
    EXPECT_TRUE(lastReply(lone)->accepted());
    EXPECT_EQ(lone.replica->lastIndex(), LogIndex{ 2 });
    EXPECT_EQ(lone.store.synced().entries.back().term, Term{ 4 });
}

TEST(Replication, AcknowledgementOfAReplacedEntryIsNotSent)
{
    LoneReplica lone;
    lone.replica->receive(LoneReplica::append(2, 2, 2, 1));
    lone.replica->receive(LoneReplica::append(3, 4, 2, 1));
    lone.replica->flush();
    ASSERT_EQ(lone.sent.size(), 1U);
    EXPECT_EQ(lone.sent.front().term(), 4U);
}

TEST(Replication, MalformedMessagesAreDropped)
{
    LoneReplica lone;
    auto gap = LoneReplica::append(2, 2, 2, 1);
    gap.mutable_append_request()->mutable_entries(0)->set_index(7);
    auto future = LoneReplica::append(2, 2, 2, 1);
    future.mutable_append_request()->mutable_entries(0)->set_term(9);
    auto membership = LoneReplica::append(2, 2, 2, 1);
    membership.mutable_append_request()->mutable_entries(0)->set_kind(wire::ReplicaEntry::MEMBERSHIP);
    for (const auto &it : { gap, future, membership, LoneReplica::from(2, 2) }) {
        lone.receive(it);
    }
    EXPECT_EQ(lone.replica->lastIndex(), LogIndex{ 1 });
}

TEST(Replication, DifferentInitialMembershipsStopTheReplica)
{
    LoneReplica lone;
    auto message = LoneReplica::append(2, 1, 1, 0);
    lone.receive(message);
    ASSERT_TRUE(lone.replica->failure());
    EXPECT_EQ(lone.replica->failure()->code, ErrorCode::Corrupt);
}

TEST(Replication, ProposerLearnsThatLeadershipWasLost)
{
    LoneReplica lone;
    lone.lead();
    const auto index = valueOf<LogIndex>([&] { return lone.replica->propose("k=1"); });
    std::optional<ProposalOutcome> outcome;
    lone.replica->onOutcome(*index, [&](ProposalOutcome it) { outcome = it; });
    lone.replica->flush();
    EXPECT_FALSE(outcome);
    lone.clock.advance(lone.options.electionTimeoutMax + 1ms);
    lone.replica->tick();
    lone.replica->flush();
    EXPECT_EQ(outcome, ProposalOutcome::LeaderChanged);
    EXPECT_EQ(errorOf([&] { return lone.replica->propose("k=2"); }), ErrorCode::NotLeader);
}

TEST(Replication, SurvivesCrashesOfAllReplicasAtOnce)
{
    FakeCluster cluster(11, 3);
    awaitLeader(cluster);
    for (int n = 0; n < 50; ++n) {
        cluster.propose(cluster.leader()->slot, fmt::format("k{}={}", n, n));
    }
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.checker.acknowledgedCount() == 50; }, 1s));
    for (int n = 0; n < 3; ++n) {
        cluster.crash(n);
        cluster.start(n);
    }
    awaitLeader(cluster);
    EXPECT_EQ(cluster.leader()->machine.values(), cluster.checker.naiveMap());
    EXPECT_TRUE(cluster.checker.violations().empty());
}

TEST(Replication, FollowerThatWasAwayCatchesUpInBatches)
{
    ReplicaOptions options;
    options.appendBytes = 100;
    FakeCluster cluster(12, 3, options);
    awaitLeader(cluster);
    const int away = (cluster.leader()->slot + 1) % 3;
    cluster.isolate(away);
    for (int n = 0; n < 200; ++n) {
        cluster.propose(cluster.leader()->slot, fmt::format("k{}={}", n, n));
    }
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.checker.acknowledgedCount() == 200; }, 1s));
    cluster.network.heal();
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.node(away).machine.lastApplied() == cluster.checker.lastAcknowledged(); }, 1s));
}
