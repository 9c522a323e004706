// Guards against reads from a leader that has been replaced, or that does not know yet what its predecessors committed.
#include "fake_cluster.h"
#include "lone_replica.h"

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

/// State of a read: nothing while it waits, then whether it was confirmed.
std::shared_ptr<std::optional<bool>> startRead(Replica &replica)
{
    auto state = std::make_shared<std::optional<bool>>();
    replica.confirmLeadership([state](Result<void> confirmed) { *state = static_cast<bool>(confirmed); });
    replica.flush();
    return state;
}

std::uint64_t sentRound(const LoneReplica &lone)
{
    return lone.last([](const wire::ReplicaMessage &it) { return it.has_append_request(); })->append_request().read_round();
}

} // namespace

TEST(Reads, NeedAnAnswerToAMessageSentAfterTheRead)
{
    LoneReplica lone;
    lone.lead();
    lone.acknowledge(2, 2);
    const auto before = sentRound(lone);
    const auto read = startRead(*lone.replica);
    EXPECT_GT(sentRound(lone), before);
    lone.acknowledge(2, 2, before);
    EXPECT_FALSE(*read) << "this answer may have been sent before the read arrived";
    lone.acknowledge(2, 2, sentRound(lone));
    EXPECT_EQ(*read, true);
}

TEST(Reads, WaitUntilAnEntryOfTheTermIsCommitted)
{
    LoneReplica lone;
    lone.receive(LoneReplica::append(2, 2, 2, 1));
    lone.lead();
    const auto read = startRead(*lone.replica);
    lone.acknowledge(3, 1, sentRound(lone));
    EXPECT_FALSE(*read) << "an earlier leader may have committed entry 2";
    lone.acknowledge(3, 3, sentRound(lone));
    EXPECT_EQ(*read, true);
    EXPECT_EQ(lone.machine.lastApplied(), LogIndex{ 2 });
}

TEST(Reads, IgnoreAnswersOfAnEarlierTerm)
{
    LoneReplica lone;
    lone.lead();
    auto late = LoneReplica::from(3, lone.replica->term().value);
    late.mutable_append_reply()->set_accepted(true);
    late.mutable_append_reply()->set_index(1);
    late.mutable_append_reply()->set_read_round(1000);
    lone.start();
    lone.lead();
    lone.acknowledge(2, lone.replica->lastIndex().value);
    ASSERT_TRUE(lone.replica->isLeaderReady());
    const auto read = startRead(*lone.replica);
    lone.receive(late);
    EXPECT_FALSE(*read);
}

TEST(Reads, FailWhenLeadershipIsLostOrAbsent)
{
    LoneReplica lone;
    EXPECT_EQ(*startRead(*lone.replica), false);
    lone.lead();
    const auto read = startRead(*lone.replica);
    lone.receive(LoneReplica::append(3, lone.replica->term().value + 1, 2, 1));
    EXPECT_EQ(*read, false);
}

TEST(Reads, LeaderOnTheFarSideConfirmsNothing)
{
    FakeCluster cluster(21, 5);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 2s));
    auto &old = *cluster.leader();
    cluster.isolate(old.slot);
    const auto before = cluster.readsConfirmed;
    for (int n = 0; n < 10'000; ++n) {
        cluster.step();
        cluster.read(old.slot);
        if (auto *leader = cluster.leader(); leader != nullptr && leader != &old) {
            cluster.propose(leader->slot, "k=1");
        }
    }
    EXPECT_EQ(cluster.readsConfirmed, before);
    EXPECT_GT(cluster.checker.acknowledgedCount(), 0U);
    EXPECT_TRUE(cluster.checker.violations().empty());
}
