// Guards against acknowledgements before the sync, lost or changed committed entries, and a separate sync for each entry.
#include "fake_cluster.h"
#include "replica_fixture.h"

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

const wire::AppendReply *lastReply(const ReplicaFixture &fixture)
{
    const auto *message = fixture.lastSent([](const wire::ReplicaMessage &it) { return it.has_append_reply(); });
    return message == nullptr ? nullptr : &message->append_reply();
}

void awaitLeader(FakeCluster &cluster)
{
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 2s));
}

} // namespace

TEST(Replication, SyncsAllProposalsOfAnIterationOnce)
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    const auto before = fixture.store.syncCount();
    const auto sentBefore = fixture.sentMessages.size();
    for (int n = 0; n < 100; ++n) {
        EXPECT_TRUE(fixture.replica->propose("k=1"));
    }
    EXPECT_EQ(fixture.store.syncCount(), before);
    fixture.receiveAppendReply(2, 2); // ends probing; the entries are then sent in one message
    EXPECT_EQ(fixture.store.syncCount(), before + 1);
    EXPECT_LE(fixture.sentMessages.size(), sentBefore + 2);
}

TEST(Replication, FollowerAcknowledgesOnlyAfterTheSync)
{
    ReplicaFixture fixture;
    fixture.replica->receive(ReplicaFixture::appendRequest(2, 2, 2, 1));
    EXPECT_TRUE(fixture.sentMessages.empty());
    const auto before = fixture.store.syncCount();
    fixture.replica->flush();
    ASSERT_NE(lastReply(fixture), nullptr);
    EXPECT_TRUE(lastReply(fixture)->accepted());
    EXPECT_GT(fixture.syncCountsAtSend.back(), before);
    EXPECT_EQ(fixture.store.syncedState().entries.back().index, LogIndex{ 2 });
}

TEST(Replication, FollowerIsSilentIfTheSyncFails)
{
    ReplicaFixture fixture;
    fixture.store.failNextSync();
    fixture.receive(ReplicaFixture::appendRequest(2, 2, 2, 1));
    EXPECT_TRUE(fixture.sentMessages.empty());
    EXPECT_TRUE(fixture.replica->failure());
}

TEST(Replication, LeaderCountsItselfOnlyAfterTheSync)
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    ASSERT_TRUE(fixture.replica->propose("k=1"));
    bool applied = false;
    fixture.replica->onOutcome(LogIndex{ 3 }, [&](ProposalOutcome) { applied = true; });
    auto reply = ReplicaFixture::messageFrom(2, fixture.replica->term().value);
    reply.mutable_append_reply()->set_accepted(true);
    reply.mutable_append_reply()->set_index(3);
    fixture.replica->receive(reply);
    EXPECT_EQ(fixture.replica->commitIndex(), LogIndex{}) << "the leader has not synced its own entries yet";
    EXPECT_FALSE(applied);
    fixture.replica->flush();
    EXPECT_EQ(fixture.replica->commitIndex(), LogIndex{ 3 });
    EXPECT_TRUE(applied);
}

TEST(Replication, EntryOfAnEarlierTermIsNotCommittedByCounting)
{
    ReplicaFixture fixture;
    fixture.receive(ReplicaFixture::appendRequest(2, 2, 2, 1));
    fixture.becomeLeader();
    ASSERT_EQ(fixture.replica->lastIndex(), LogIndex{ 3 });
    fixture.receiveAppendReply(3, 2);
    EXPECT_EQ(fixture.replica->commitIndex(), LogIndex{}) << "entry 2 is synced on a quorum but is of an earlier term";
    fixture.receiveAppendReply(3, 3);
    EXPECT_EQ(fixture.replica->commitIndex(), LogIndex{ 3 });
}

TEST(Replication, ConflictingEntriesAreReplacedAndGapsRefused)
{
    ReplicaFixture fixture;
    fixture.receive(ReplicaFixture::appendRequest(2, 2, 2, 1));
    fixture.receive(ReplicaFixture::appendRequest(2, 2, 3, 2));
    fixture.receive(ReplicaFixture::appendRequest(3, 4, 9, 4));
    ASSERT_NE(lastReply(fixture), nullptr);
    EXPECT_FALSE(lastReply(fixture)->accepted());
    EXPECT_EQ(lastReply(fixture)->index(), 4U) << "the hint is the end of this log";
    fixture.receive(ReplicaFixture::appendRequest(3, 4, 3, 3));
    EXPECT_FALSE(lastReply(fixture)->accepted());
    EXPECT_EQ(lastReply(fixture)->index(), 2U) << "the hint is the first entry of the conflicting term";
    fixture.receive(ReplicaFixture::appendRequest(3, 4, 2, 1));
    EXPECT_TRUE(lastReply(fixture)->accepted());
    EXPECT_EQ(fixture.replica->lastIndex(), LogIndex{ 2 });
    EXPECT_EQ(fixture.store.syncedState().entries.back().term, Term{ 4 });
}

TEST(Replication, AcknowledgementOfAReplacedEntryIsNotSent)
{
    ReplicaFixture fixture;
    fixture.replica->receive(ReplicaFixture::appendRequest(2, 2, 2, 1));
    fixture.replica->receive(ReplicaFixture::appendRequest(3, 4, 2, 1));
    fixture.replica->flush();
    ASSERT_EQ(fixture.sentMessages.size(), 1U);
    EXPECT_EQ(fixture.sentMessages.front().term(), 4U);
}

TEST(Replication, MalformedMessagesAreDropped)
{
    ReplicaFixture fixture;
    auto gap = ReplicaFixture::appendRequest(2, 2, 2, 1);
    gap.mutable_append_request()->mutable_entries(0)->set_index(7);
    auto future = ReplicaFixture::appendRequest(2, 2, 2, 1);
    future.mutable_append_request()->mutable_entries(0)->set_term(9);
    auto membership = ReplicaFixture::appendRequest(2, 2, 2, 1);
    membership.mutable_append_request()->mutable_entries(0)->set_kind(wire::ReplicaEntry::MEMBERSHIP);
    for (const auto &it : { gap, future, membership, ReplicaFixture::messageFrom(2, 2) }) {
        fixture.receive(it);
    }
    EXPECT_EQ(fixture.replica->lastIndex(), LogIndex{ 1 });
}

TEST(Replication, DifferentInitialMembershipsStopTheReplica)
{
    ReplicaFixture fixture;
    auto message = ReplicaFixture::appendRequest(2, 1, 1, 0);
    fixture.receive(message);
    ASSERT_TRUE(fixture.replica->failure());
    EXPECT_EQ(fixture.replica->failure()->code, ErrorCode::Corrupt);
}

TEST(Replication, ProposerLearnsThatLeadershipWasLost)
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    const auto index = valueOf<LogIndex>([&] { return fixture.replica->propose("k=1"); });
    std::optional<ProposalOutcome> outcome;
    fixture.replica->onOutcome(*index, [&](ProposalOutcome it) { outcome = it; });
    fixture.replica->flush();
    EXPECT_FALSE(outcome);
    fixture.clock.advance(fixture.options.electionTimeoutMax + 1ms);
    fixture.replica->tick();
    fixture.replica->flush();
    EXPECT_EQ(outcome, ProposalOutcome::LeaderChanged);
    EXPECT_EQ(errorOf([&] { return fixture.replica->propose("k=2"); }), ErrorCode::NotLeader);
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
    EXPECT_EQ(cluster.leader()->machine.values(), cluster.checker.referenceValues());
    EXPECT_TRUE(cluster.checker.violations().empty());
}

TEST(Replication, FollowerThatWasAwayCatchesUpInBatches)
{
    ReplicaOptions options;
    options.appendBytes = 100;
    FakeCluster cluster(12, 3, options);
    awaitLeader(cluster);
    const int lagging = (cluster.leader()->slot + 1) % 3;
    cluster.isolate(lagging);
    for (int n = 0; n < 200; ++n) {
        cluster.propose(cluster.leader()->slot, fmt::format("k{}={}", n, n));
    }
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.checker.acknowledgedCount() == 200; }, 1s));
    cluster.network.heal();
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.node(lagging).machine.lastApplied() == cluster.checker.lastAcknowledged(); }, 1s));
}
