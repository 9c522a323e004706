// Guards against two owners of one key, epochs that do not grow, and lost crash marks.
#include "test/state/command_builders.h"

#include "common/key_hash.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::testing;

namespace
{

constexpr auto serviceName = "clue-svc";

class Assignments : public ::testing::Test
{
protected:
    void SetUp() override
    {
        harness.edit("a", { rowEdit("clue-svc/*/*", { "key=segment:1", "partitions=8" }) });
        harness.apply(registerCommand(11, serviceName, "jm-a", "one"));
        harness.apply(registerCommand(12, serviceName, "jm-b", "one"));
        harness.apply(registerCommand(13, "hunt-svc", "jm-b", "one"));
    }

    Owner owner(std::uint32_t partition) const
    {
        return harness.view().ownerOf(serviceName, PartitionId{ partition }).value();
    }

    Owner ownerOfKey(std::uint64_t hash) const
    {
        return harness.view().ownerOf(serviceName, KeyHash{ hash }).value();
    }

    void expectAccepted(const wire::Command &command)
    {
        const auto &answer = harness.apply(command);
        EXPECT_EQ(answer.acceptedParts, 1) << command.ShortDebugString();
        EXPECT_EQ(answer.rejectedParts, 0);
    }

    void expectRejected(const wire::Command &command)
    {
        const auto before = harness.view().digest();
        EXPECT_EQ(harness.apply(command).acceptedParts, 0) << command.ShortDebugString();
        EXPECT_EQ(harness.view().digest(), before);
    }

    std::uint64_t epoch(std::uint32_t partition) const
    {
        return owner(partition).epoch.value;
    }

    StateHarness harness;
};

} // namespace

TEST_F(Assignments, GrantIsVoidWithALiveOwnerOrAnOldEpoch)
{
    expectAccepted(grantCommand(serviceName, 3, 11, 0));
    expectRejected(grantCommand(serviceName, 3, 12, epoch(3)));
    expectRejected(grantCommand(serviceName, 4, 12, 7));
    expectRejected(grantCommand(serviceName, 8, 12, 0));
    expectRejected(grantCommand(serviceName, 4, 13, 0));
    expectRejected(grantCommand(serviceName, 4, 99, 0));
    expectRejected(grantCommand("hunt-svc", 0, 13, 0));
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
}

TEST_F(Assignments, SecondGrantInOneCommandIsVoid)
{
    auto command = grantCommand(serviceName, 3, 11, 0);
    fillGrant(*command.mutable_grant_partitions()->add_grants(), serviceName, 3, 12, 0);
    const auto &answer = harness.apply(command);
    EXPECT_EQ(answer.acceptedParts, 1);
    EXPECT_EQ(answer.rejectedParts, 1);
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
}

TEST_F(Assignments, GracefulMoveRaisesTheEpochAndRecordsNoCrash)
{
    expectAccepted(grantCommand(serviceName, 3, 11, 0));
    const auto firstEpoch = epoch(3);
    expectAccepted(moveCommand(serviceName, 3, 12, firstEpoch));
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
    EXPECT_EQ(owner(3).movingTo, SessionId{ 12 });
    expectRejected(releaseCommand(serviceName, 3, 12));
    expectAccepted(releaseCommand(serviceName, 3, 11, 12));
    EXPECT_EQ(owner(3).session, SessionId{ 12 });
    EXPECT_FALSE(owner(3).isMoving());
    EXPECT_GT(epoch(3), firstEpoch);
    EXPECT_EQ(owner(3).crashGrantTime, std::nullopt);
    expectRejected(releaseCommand(serviceName, 3, 11, 12));
}

TEST_F(Assignments, ExpiredOwnerLeavesACrashMarkThatTheGrantRecordsAndMovesKeep)
{
    expectAccepted(grantCommand(serviceName, 3, 11, 0));
    harness.apply(expireCommand(11));
    EXPECT_FALSE(owner(3).session);
    EXPECT_TRUE(owner(3).crashed);
    const auto firstEpoch = epoch(3);
    expectAccepted(grantCommand(serviceName, 3, 12, firstEpoch));
    EXPECT_GT(epoch(3), firstEpoch);
    EXPECT_FALSE(owner(3).crashed);
    const WallTime granted{ std::chrono::milliseconds(1'000'000) };
    EXPECT_EQ(owner(3).crashGrantTime, granted);
    harness.apply(registerCommand(14, serviceName, "jm-a", "one"));
    expectAccepted(moveCommand(serviceName, 3, 14, epoch(3)));
    expectAccepted(releaseCommand(serviceName, 3, 12));
    EXPECT_EQ(owner(3).crashGrantTime, granted);
}

TEST_F(Assignments, ReleaseWithoutReceiverCountsAsALoss)
{
    expectAccepted(grantCommand(serviceName, 3, 11, 0));
    const auto firstEpoch = epoch(3);
    expectAccepted(releaseCommand(serviceName, 3, 11));
    EXPECT_FALSE(owner(3).session);
    EXPECT_TRUE(owner(3).crashed);
    EXPECT_GT(epoch(3), firstEpoch);
    expectRejected(grantCommand(serviceName, 3, 12, firstEpoch));
}

TEST_F(Assignments, EndOfTheReceiverCancelsTheMove)
{
    expectAccepted(grantCommand(serviceName, 3, 11, 0));
    expectAccepted(moveCommand(serviceName, 3, 12, epoch(3)));
    harness.apply(expireCommand(12));
    EXPECT_FALSE(owner(3).isMoving());
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
}

TEST_F(Assignments, ReleaseForAnotherReceiverThanThePresentOneIsVoid)
{
    expectAccepted(grantCommand(serviceName, 3, 11, 0));
    expectAccepted(moveCommand(serviceName, 3, 12, epoch(3)));
    harness.apply(expireCommand(12));
    harness.apply(registerCommand(14, serviceName, "jm-b", "one"));
    expectAccepted(moveCommand(serviceName, 3, 14, epoch(3)));
    expectRejected(moveCommand(serviceName, 3, 14, epoch(3)));
    expectRejected(releaseCommand(serviceName, 3, 11, 12));
    expectAccepted(moveCommand(serviceName, 3, 0, epoch(3)));
    EXPECT_FALSE(owner(3).isMoving());
    expectRejected(releaseCommand(serviceName, 3, 11, 14));
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
}

TEST_F(Assignments, InstanceWithALiveSessionIsNotTakenOver)
{
    const auto answer = harness.apply(registerCommand(21, serviceName, "jm-a", "one")).registration.value();
    EXPECT_FALSE(answer.accepted);
    EXPECT_EQ(answer.holder, SessionId{ 11 });
    EXPECT_EQ(answer.message, "clue-svc/jm-a/one is held by session b until that expires or closes");
    EXPECT_EQ(harness.view().sessionOf(serviceName, "jm-a", "one"), SessionId{ 11 });
    harness.apply(expireCommand(11));
    EXPECT_TRUE(harness.apply(registerCommand(21, serviceName, "jm-a", "one")).registration->accepted);
    EXPECT_FALSE(harness.apply(registerCommand(21, serviceName, "jm-a", "two")).registration->accepted);
    EXPECT_FALSE(harness.apply(registerCommand(0, serviceName, "jm-a", "two")).registration->accepted);
    EXPECT_FALSE(harness.apply(registerCommand(31, serviceName, "", "two")).registration->accepted);
}

TEST_F(Assignments, SecondRegistrationOfASessionUpdatesItsFlags)
{
    auto command = registerCommand(11, serviceName, "jm-a", "one");
    command.mutable_register_session()->mutable_session()->set_cold(true);
    EXPECT_TRUE(harness.apply(command).registration->accepted);
    EXPECT_TRUE(harness.view().session(SessionId{ 11 })->cold());
    EXPECT_EQ(harness.view().instancesOf(serviceName).size(), 2);
}

TEST_F(Assignments, HotKeyMovesAwayAndBackWithGrowingEpochs)
{
    const std::uint64_t hash = 3;
    expectAccepted(grantCommand(serviceName, 3, 11, 0));
    expectRejected(hotKeyCommand(serviceName, hash, 12, 0, epoch(3)));
    expectAccepted(hotKeyCommand(serviceName, hash, 11, 12, epoch(3)));
    EXPECT_EQ(ownerOfKey(hash).session, SessionId{ 11 });
    EXPECT_TRUE(ownerOfKey(hash).isMoving());
    expectRejected(releaseHotKeyCommand(serviceName, hash, 12));
    expectAccepted(releaseHotKeyCommand(serviceName, hash, 11, 12));
    EXPECT_EQ(ownerOfKey(hash).session, SessionId{ 12 });
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
    EXPECT_EQ(ownerOfKey(hash + 8).session, SessionId{ 11 });
    const auto movedEpoch = ownerOfKey(hash).epoch;
    EXPECT_GT(movedEpoch, owner(3).epoch);
    expectRejected(hotKeyCommand(serviceName, hash, 0, 0, movedEpoch.value));
    expectAccepted(hotKeyCommand(serviceName, hash, 12, 11, movedEpoch.value));
    expectAccepted(releaseHotKeyCommand(serviceName, hash, 12));
    expectAccepted(hotKeyCommand(serviceName, hash, 0, 0, ownerOfKey(hash).epoch.value));
    EXPECT_FALSE(ownerOfKey(hash).hotKey);
    EXPECT_EQ(ownerOfKey(hash).session, SessionId{ 11 });
    EXPECT_GT(ownerOfKey(hash).epoch, movedEpoch);
}

TEST_F(Assignments, CrashOfAHotKeyOwnerIsRecordedAndOutlivesTheOverride)
{
    const std::uint64_t hash = 3;
    expectAccepted(grantCommand(serviceName, 3, 11, 0));
    expectAccepted(hotKeyCommand(serviceName, hash, 11, 12, epoch(3)));
    expectAccepted(releaseHotKeyCommand(serviceName, hash, 11));
    harness.apply(expireCommand(12));
    EXPECT_TRUE(ownerOfKey(hash).crashed);
    expectRejected(hotKeyCommand(serviceName, hash, 0, 0, ownerOfKey(hash).epoch.value));
    expectAccepted(hotKeyCommand(serviceName, hash, 11, 0, ownerOfKey(hash).epoch.value));
    expectAccepted(hotKeyCommand(serviceName, hash, 0, 0, ownerOfKey(hash).epoch.value));
    EXPECT_FALSE(ownerOfKey(hash).hotKey);
    EXPECT_EQ(ownerOfKey(hash).crashGrantTime, WallTime(std::chrono::milliseconds(2'000'000)));
}

TEST_F(Assignments, UnknownServiceIsNotPartitionedByKey)
{
    EXPECT_EQ(harness.view().ownerOf("hunt-svc", hashKey("a")), std::nullopt);
    EXPECT_EQ(harness.view().instancesOf("hunt-svc").size(), 1);
    EXPECT_EQ(harness.view().row({ "hunt-svc", "", "" }), nullptr);
    EXPECT_TRUE(harness.view().instancesOf("nobody").empty());
}

TEST_F(Assignments, LogIndexThatGoesBackAbortsTheProgram)
{
    // All other invariants rely on commands being applied in the order of the log.
    EXPECT_DEATH(harness.state.apply(LogIndex{ 1 }, {}), "order of the log");
}
