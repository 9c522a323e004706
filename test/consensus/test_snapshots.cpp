// Guards against replicas that lose state when the log is compacted, and against snapshot transfers that never complete.
#include "fake_cluster.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

ReplicaOptions smallSnapshots()
{
    ReplicaOptions options;
    options.snapshotInterval = 50;
    options.trailingEntries = 10;
    options.snapshotChunkBytes = 64;
    return options;
}

void commit(FakeCluster &cluster, int commands)
{
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 3s));
    const auto wanted = cluster.checker.acknowledgedCount() + static_cast<std::uint64_t>(commands);
    for (int n = 0; n < commands; ++n) {
        cluster.propose(cluster.leader()->slot, fmt::format("k{}={}", n, n));
        cluster.run(2ms);
    }
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.checker.acknowledgedCount() == wanted; }, 1s));
}

} // namespace

TEST(Snapshots, CompactTheLogAndSurviveARestart)
{
    FakeCluster cluster(41, 3, smallSnapshots());
    commit(cluster, 200);
    cluster.run(200ms);
    for (int n = 0; n < 3; ++n) {
        EXPECT_GT(cluster.node(n).replica->snapshotIndex(), LogIndex{ 100 });
        EXPECT_LT(cluster.node(n).store.syncedState().entries.size(), 60U);
        cluster.crash(n);
        cluster.start(n);
        EXPECT_EQ(cluster.node(n).replica->membership().members.size(), 3U);
    }
    commit(cluster, 10);
    EXPECT_EQ(cluster.leader()->machine.values(), cluster.checker.referenceValues());
    EXPECT_TRUE(cluster.checker.violations().empty());
}

TEST(Snapshots, ReachAFollowerInChunksDespiteLoss)
{
    FakeCluster cluster(42, 3, smallSnapshots());
    commit(cluster, 1);
    const int lagging = (cluster.leader()->slot + 1) % 3;
    cluster.isolate(lagging);
    commit(cluster, 200);
    int chunks = 0;
    cluster.network.filter = [&](const wire::ReplicaMessage &message) { return message.has_snapshot_chunk() && ++chunks % 3 == 0; };
    cluster.network.heal();
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.node(lagging).machine.lastApplied() == cluster.checker.lastAcknowledged(); }, 10s));
    EXPECT_GT(chunks, 10);
    EXPECT_EQ(cluster.node(lagging).machine.values(), cluster.checker.referenceValues());
    cluster.crash(lagging);
    cluster.start(lagging);
    EXPECT_GT(cluster.node(lagging).machine.lastApplied(), LogIndex{}) << "the installed snapshot is stored";
}

TEST(Snapshots, FollowerThatLagsALittleNeedsNone)
{
    FakeCluster cluster(43, 3, smallSnapshots());
    commit(cluster, 95);
    const int lagging = (cluster.leader()->slot + 1) % 3;
    bool chunkSent = false;
    cluster.network.filter = [&](const wire::ReplicaMessage &message) {
        chunkSent = chunkSent || message.has_snapshot_chunk();
        return false;
    };
    cluster.isolate(lagging);
    commit(cluster, 8); // crosses the snapshot at 100
    cluster.network.heal();
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.node(lagging).machine.lastApplied() == cluster.checker.lastAcknowledged(); }, 2s));
    EXPECT_FALSE(chunkSent);
}

// Guards against a log whose few but large entries need more memory to load than a controller has.
TEST(Snapshots, CompactALogOfFewLargeEntries)
{
    constexpr std::size_t kEntryBytes = 1000;
    constexpr std::size_t kSnapshotEntries = 20; // Per snapshot, by their size.
    ReplicaOptions options;
    options.snapshotBytes = kSnapshotEntries * kEntryBytes;
    options.trailingBytes = kSnapshotEntries * kEntryBytes;
    FakeCluster cluster(44, 3, options);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr && cluster.leader()->replica->isLeaderReady(); }, 3s));
    for (std::size_t n = 1; n <= 5 * kSnapshotEntries; ++n) {
        ASSERT_TRUE(cluster.propose(cluster.leader()->slot, fmt::format("k{}={}", n, std::string(kEntryBytes, 'x'))));
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.checker.acknowledgedCount() == n; }, 1s));
    }
    cluster.run(200ms);
    const int lagging = (cluster.leader()->slot + 1) % 3;
    for (int n = 0; n < 3; ++n) {
        EXPECT_LE(cluster.node(n).store.syncedState().entries.size(), kSnapshotEntries + 1);
    }
    cluster.crash(lagging);
    cluster.start(lagging);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.node(lagging).machine.lastApplied() == cluster.checker.lastAcknowledged(); }, 2s));
    EXPECT_EQ(cluster.node(lagging).machine.values(), cluster.checker.referenceValues());
    EXPECT_TRUE(cluster.checker.violations().empty());
}
