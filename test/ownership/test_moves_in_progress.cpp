// Guards against releases that are accepted for another move than the one that they were sent for.
#include "ownership/moves_in_progress.h"

#include <gtest/gtest.h>
#include <string>

using namespace Toucandeck;
using Toucandeck::internal::MovesInProgress;

namespace
{

constexpr std::uint64_t kOwner = 1;
constexpr std::uint64_t kReceiver = 2;
const std::string kKey = "key";

wire::HotKey hotKey(std::uint64_t movingTo)
{
    wire::HotKey it;
    it.set_owner(kOwner);
    it.set_moving_to(movingTo);
    return it;
}

wire::Release release(std::uint64_t version, std::uint64_t receiver = kReceiver, std::uint64_t session = kOwner)
{
    wire::Release it;
    it.set_session(session);
    it.set_receiver(receiver);
    it.set_version(version);
    return it;
}

} // namespace

TEST(MovesInProgress, ReleaseSentBeforeTheMoveBeganIsNotValid)
{
    MovesInProgress<std::string> moves;
    moves.onAssignment(kKey, hotKey(kReceiver), LogIndex{ 7 });
    EXPECT_FALSE(moves.isValidRelease(kKey, hotKey(kReceiver), release(6)));
    EXPECT_TRUE(moves.isValidRelease(kKey, hotKey(kReceiver), release(7)));
}

TEST(MovesInProgress, ReleaseForAnotherOwnerOrReceiverIsNotValid)
{
    MovesInProgress<std::string> moves;
    moves.onAssignment(kKey, hotKey(kReceiver), LogIndex{ 7 });
    EXPECT_FALSE(moves.isValidRelease(kKey, hotKey(kReceiver), release(7, 3)));
    EXPECT_FALSE(moves.isValidRelease(kKey, hotKey(kReceiver), release(7, kReceiver, 3)));
    EXPECT_FALSE(moves.isValidRelease(kKey, hotKey(0), release(7, 0)));
}

TEST(MovesInProgress, MoveThatBeganBeforeTheLeadershipCountsFromItsStart)
{
    MovesInProgress<std::string> moves;
    moves.onAssignment(kKey, hotKey(kReceiver), LogIndex{ 20 });
    moves.reset(LogIndex{ 9 });
    EXPECT_FALSE(moves.isValidRelease(kKey, hotKey(kReceiver), release(8)));
    EXPECT_TRUE(moves.isValidRelease(kKey, hotKey(kReceiver), release(9)));
}

TEST(MovesInProgress, CancelledOrRemovedMoveIsNoLongerRecorded)
{
    MovesInProgress<std::string> moves;
    moves.onAssignment(kKey, hotKey(kReceiver), LogIndex{ 7 });
    moves.onAssignment(kKey, hotKey(0), LogIndex{ 8 });
    EXPECT_TRUE(moves.isValidRelease(kKey, hotKey(kReceiver), release(0)));
    moves.onAssignment(kKey, hotKey(kReceiver), LogIndex{ 9 });
    moves.onRemoval(kKey);
    EXPECT_TRUE(moves.isValidRelease(kKey, hotKey(kReceiver), release(0)));
}
