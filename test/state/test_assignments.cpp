// Guards against two owners of one key, epochs that do not grow, and crash marks that get lost.
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
        it.edit("a", { rowEdit("clue-svc/*/*", { "key=segment:1", "partitions=8" }) });
        it.apply(registerCommand(11, serviceName, "jm-a", "one"));
        it.apply(registerCommand(12, serviceName, "jm-b", "one"));
        it.apply(registerCommand(13, "hunt-svc", "jm-b", "one"));
    }

    Owner owner(std::uint32_t partition) const
    {
        return it.view().ownerOf(serviceName, PartitionId{ partition }).value();
    }

    Owner ownerOfKey(std::uint64_t hash) const
    {
        return it.view().ownerOf(serviceName, KeyHash{ hash }).value();
    }

    void accept(const wire::Command &command)
    {
        const auto &answer = it.apply(command);
        EXPECT_EQ(answer.accepted, 1) << command.ShortDebugString();
        EXPECT_EQ(answer.voided, 0);
    }

    void refuse(const wire::Command &command)
    {
        const auto before = it.view().digest();
        EXPECT_EQ(it.apply(command).accepted, 0) << command.ShortDebugString();
        EXPECT_EQ(it.view().digest(), before);
    }

    std::uint64_t epoch(std::uint32_t partition) const
    {
        return owner(partition).epoch.value;
    }

    AppliedState it;
};

} // namespace

TEST_F(Assignments, GrantIsVoidWithALiveOwnerOrAnOldEpoch)
{
    accept(grantCommand(serviceName, 3, 11, 0));
    refuse(grantCommand(serviceName, 3, 12, epoch(3)));
    refuse(grantCommand(serviceName, 4, 12, 7));
    refuse(grantCommand(serviceName, 8, 12, 0));
    refuse(grantCommand(serviceName, 4, 13, 0));
    refuse(grantCommand(serviceName, 4, 99, 0));
    refuse(grantCommand("hunt-svc", 0, 13, 0));
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
}

TEST_F(Assignments, SecondGrantInOneCommandIsVoid)
{
    auto command = grantCommand(serviceName, 3, 11, 0);
    fillGrant(*command.mutable_grant_partitions()->add_grants(), serviceName, 3, 12, 0);
    const auto &answer = it.apply(command);
    EXPECT_EQ(answer.accepted, 1);
    EXPECT_EQ(answer.voided, 1);
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
}

TEST_F(Assignments, GracefulMoveRaisesTheEpochAndRecordsNoCrash)
{
    accept(grantCommand(serviceName, 3, 11, 0));
    const auto first = epoch(3);
    accept(moveCommand(serviceName, 3, 12, first));
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
    EXPECT_EQ(owner(3).movingTo, SessionId{ 12 });
    refuse(releaseCommand(serviceName, 3, 12));
    accept(releaseCommand(serviceName, 3, 11, 12));
    EXPECT_EQ(owner(3).session, SessionId{ 12 });
    EXPECT_FALSE(owner(3).isMoving());
    EXPECT_GT(epoch(3), first);
    EXPECT_EQ(owner(3).crashGranted, std::nullopt);
    refuse(releaseCommand(serviceName, 3, 11, 12));
}

TEST_F(Assignments, ExpiredOwnerLeavesACrashMarkThatTheGrantRecordsAndMovesKeep)
{
    accept(grantCommand(serviceName, 3, 11, 0));
    it.apply(expireCommand(11));
    EXPECT_FALSE(owner(3).session);
    EXPECT_TRUE(owner(3).crashed);
    const auto first = epoch(3);
    accept(grantCommand(serviceName, 3, 12, first));
    EXPECT_GT(epoch(3), first);
    EXPECT_FALSE(owner(3).crashed);
    const WallTime granted{ std::chrono::milliseconds(1'000'000) };
    EXPECT_EQ(owner(3).crashGranted, granted);
    it.apply(registerCommand(14, serviceName, "jm-a", "one"));
    accept(moveCommand(serviceName, 3, 14, epoch(3)));
    accept(releaseCommand(serviceName, 3, 12));
    EXPECT_EQ(owner(3).crashGranted, granted);
}

TEST_F(Assignments, ReleaseWithoutReceiverCountsAsALoss)
{
    accept(grantCommand(serviceName, 3, 11, 0));
    const auto first = epoch(3);
    accept(releaseCommand(serviceName, 3, 11));
    EXPECT_FALSE(owner(3).session);
    EXPECT_TRUE(owner(3).crashed);
    EXPECT_GT(epoch(3), first);
    refuse(grantCommand(serviceName, 3, 12, first));
}

TEST_F(Assignments, EndOfTheReceiverCancelsTheMove)
{
    accept(grantCommand(serviceName, 3, 11, 0));
    accept(moveCommand(serviceName, 3, 12, epoch(3)));
    it.apply(expireCommand(12));
    EXPECT_FALSE(owner(3).isMoving());
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
}

TEST_F(Assignments, ReleaseForAnotherReceiverThanThePresentOneIsVoid)
{
    accept(grantCommand(serviceName, 3, 11, 0));
    accept(moveCommand(serviceName, 3, 12, epoch(3)));
    it.apply(expireCommand(12));
    it.apply(registerCommand(14, serviceName, "jm-b", "one"));
    accept(moveCommand(serviceName, 3, 14, epoch(3)));
    refuse(moveCommand(serviceName, 3, 14, epoch(3)));
    refuse(releaseCommand(serviceName, 3, 11, 12));
    accept(moveCommand(serviceName, 3, 0, epoch(3)));
    EXPECT_FALSE(owner(3).isMoving());
    refuse(releaseCommand(serviceName, 3, 11, 14));
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
}

TEST_F(Assignments, InstanceWithALiveSessionIsNotTakenOver)
{
    const auto answer = it.apply(registerCommand(21, serviceName, "jm-a", "one")).registration.value();
    EXPECT_FALSE(answer.accepted);
    EXPECT_EQ(answer.holder, SessionId{ 11 });
    EXPECT_EQ(answer.message, "clue-svc/jm-a/one is held by session b until that expires or closes");
    EXPECT_EQ(it.view().sessionOf(serviceName, "jm-a", "one"), SessionId{ 11 });
    it.apply(expireCommand(11));
    EXPECT_TRUE(it.apply(registerCommand(21, serviceName, "jm-a", "one")).registration->accepted);
    EXPECT_FALSE(it.apply(registerCommand(21, serviceName, "jm-a", "two")).registration->accepted);
    EXPECT_FALSE(it.apply(registerCommand(0, serviceName, "jm-a", "two")).registration->accepted);
    EXPECT_FALSE(it.apply(registerCommand(31, serviceName, "", "two")).registration->accepted);
}

TEST_F(Assignments, SecondRegistrationOfASessionUpdatesItsFlags)
{
    auto command = registerCommand(11, serviceName, "jm-a", "one");
    command.mutable_register_session()->mutable_session()->set_cold(true);
    EXPECT_TRUE(it.apply(command).registration->accepted);
    EXPECT_TRUE(it.view().session(SessionId{ 11 })->cold());
    EXPECT_EQ(it.view().instancesOf(serviceName).size(), 2);
}

TEST_F(Assignments, HotKeyMovesAwayAndBackWithGrowingEpochs)
{
    const std::uint64_t hash = 3;
    accept(grantCommand(serviceName, 3, 11, 0));
    refuse(hotKeyCommand(serviceName, hash, 12, 0, epoch(3)));
    accept(hotKeyCommand(serviceName, hash, 11, 12, epoch(3)));
    EXPECT_EQ(ownerOfKey(hash).session, SessionId{ 11 });
    EXPECT_TRUE(ownerOfKey(hash).isMoving());
    refuse(releaseHotKeyCommand(serviceName, hash, 12));
    accept(releaseHotKeyCommand(serviceName, hash, 11, 12));
    EXPECT_EQ(ownerOfKey(hash).session, SessionId{ 12 });
    EXPECT_EQ(owner(3).session, SessionId{ 11 });
    EXPECT_EQ(ownerOfKey(hash + 8).session, SessionId{ 11 });
    const auto away = ownerOfKey(hash).epoch;
    EXPECT_GT(away, owner(3).epoch);
    refuse(hotKeyCommand(serviceName, hash, 0, 0, away.value));
    accept(hotKeyCommand(serviceName, hash, 12, 11, away.value));
    accept(releaseHotKeyCommand(serviceName, hash, 12));
    accept(hotKeyCommand(serviceName, hash, 0, 0, ownerOfKey(hash).epoch.value));
    EXPECT_FALSE(ownerOfKey(hash).hotKey);
    EXPECT_EQ(ownerOfKey(hash).session, SessionId{ 11 });
    EXPECT_GT(ownerOfKey(hash).epoch, away);
}

TEST_F(Assignments, CrashOfAHotKeyOwnerIsRecordedAndOutlivesTheOverride)
{
    const std::uint64_t hash = 3;
    accept(grantCommand(serviceName, 3, 11, 0));
    accept(hotKeyCommand(serviceName, hash, 11, 12, epoch(3)));
    accept(releaseHotKeyCommand(serviceName, hash, 11));
    it.apply(expireCommand(12));
    EXPECT_TRUE(ownerOfKey(hash).crashed);
    refuse(hotKeyCommand(serviceName, hash, 0, 0, ownerOfKey(hash).epoch.value));
    accept(hotKeyCommand(serviceName, hash, 11, 0, ownerOfKey(hash).epoch.value));
    accept(hotKeyCommand(serviceName, hash, 0, 0, ownerOfKey(hash).epoch.value));
    EXPECT_FALSE(ownerOfKey(hash).hotKey);
    EXPECT_EQ(ownerOfKey(hash).crashGranted, WallTime(std::chrono::milliseconds(2'000'000)));
}

TEST_F(Assignments, UnknownServiceIsNotDividedByKey)
{
    EXPECT_EQ(it.view().ownerOf("hunt-svc", hashKey("a")), std::nullopt);
    EXPECT_EQ(it.view().instancesOf("hunt-svc").size(), 1);
    EXPECT_EQ(it.view().row({ "hunt-svc", "", "" }), nullptr);
    EXPECT_TRUE(it.view().instancesOf("nobody").empty());
}

TEST_F(Assignments, EpochThatGoesBackEndsTheProgram)
{
    // The order of the log is the ground of every other rule.
    EXPECT_DEATH(it.state.apply(LogIndex{ 1 }, {}), "order of the log");
}
