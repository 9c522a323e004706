// Guards against stale reads from a leader that has been replaced, or that does not know yet which entries its predecessors committed.
#include "fake_cluster.h"
#include "replica_fixture.h"

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

/// Starts a read. The returned state is empty while the read is pending, then tells whether it was confirmed.
std::shared_ptr<std::optional<bool>> startRead(Replica &replica)
{
    auto state = std::make_shared<std::optional<bool>>();
    replica.confirmLeadership([state](Result<void> confirmed) { *state = static_cast<bool>(confirmed); });
    replica.flush();
    return state;
}

std::uint64_t sentRound(const ReplicaFixture &fixture)
{
    return fixture.lastSent([](const wire::ReplicaMessage &it) { return it.has_append_request(); })->append_request().read_round();
}

} // namespace

TEST(Reads, NeedAnAnswerToAMessageSentAfterTheRead)
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    fixture.receiveAppendReply(2, 2);
    const auto before = sentRound(fixture);
    const auto read = startRead(*fixture.replica);
    EXPECT_GT(sentRound(fixture), before);
    fixture.receiveAppendReply(2, 2, before);
    EXPECT_FALSE(*read) << "this answer may have been sent before the read arrived";
    fixture.receiveAppendReply(2, 2, sentRound(fixture));
    EXPECT_EQ(*read, true);
}

TEST(Reads, WaitUntilAnEntryOfTheTermIsCommitted)
{
    ReplicaFixture fixture;
    fixture.receive(ReplicaFixture::appendRequest(2, 2, 2, 1));
    fixture.becomeLeader();
    const auto read = startRead(*fixture.replica);
    fixture.receiveAppendReply(3, 1, sentRound(fixture));
    EXPECT_FALSE(*read) << "an earlier leader may have committed entry 2";
    fixture.receiveAppendReply(3, 3, sentRound(fixture));
    EXPECT_EQ(*read, true);
    EXPECT_EQ(fixture.machine.lastApplied(), LogIndex{ 2 });
}

TEST(Reads, IgnoreAnswersOfAnEarlierTerm)
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    auto late = ReplicaFixture::messageFrom(3, fixture.replica->term().value);
    late.mutable_append_reply()->set_accepted(true);
    late.mutable_append_reply()->set_index(1);
    late.mutable_append_reply()->set_read_round(1000);
    fixture.restart();
    fixture.becomeLeader();
    fixture.receiveAppendReply(2, fixture.replica->lastIndex().value);
    ASSERT_TRUE(fixture.replica->isLeaderReady());
    const auto read = startRead(*fixture.replica);
    fixture.receive(late);
    EXPECT_FALSE(*read);
}

TEST(Reads, FailWhenLeadershipIsLostOrAbsent)
{
    ReplicaFixture fixture;
    EXPECT_EQ(*startRead(*fixture.replica), false);
    fixture.becomeLeader();
    const auto read = startRead(*fixture.replica);
    fixture.receive(ReplicaFixture::appendRequest(3, fixture.replica->term().value + 1, 2, 1));
    EXPECT_EQ(*read, false);
}

TEST(Reads, LeaderInMinorityPartitionConfirmsNothing)
{
    FakeCluster cluster(21, 5);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 2s));
    auto &old = *cluster.leader();
    cluster.isolate(old.slot);
    const auto before = cluster.confirmedReads;
    for (int n = 0; n < 10'000; ++n) {
        cluster.step();
        cluster.read(old.slot);
        if (auto *leader = cluster.leader(); leader != nullptr && leader != &old) {
            cluster.propose(leader->slot, "k=1");
        }
    }
    EXPECT_EQ(cluster.confirmedReads, before);
    EXPECT_GT(cluster.checker.acknowledgedCount(), 0U);
    EXPECT_TRUE(cluster.checker.violations().empty());
}
