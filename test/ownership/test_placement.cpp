// Guards against placements that exceed the load bound, move more partitions than needed, or ignore states and limits.
#include "ownership/bounded_load.h"
#include "ownership/hash_modulo.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;

namespace
{

constexpr std::uint32_t kNoLimit = UINT32_MAX;

Receiver receiver(std::uint64_t session, double weight = 1)
{
    Receiver it;
    it.session = SessionId{ session };
    it.weight = weight;
    it.maxIncomingMoves = kNoLimit;
    return it;
}

PlacementInput emptyInput(std::uint32_t receivers, std::size_t partitions)
{
    PlacementInput input;
    for (std::uint32_t i = 1; i <= receivers; ++i) {
        input.receivers.push_back(receiver(i));
    }
    input.partitions.resize(partitions);
    return input;
}

/// Applies planned changes until there are none. Returns the number of moves.
std::size_t applyAllChanges(const Placement &placement, PlacementInput &input)
{
    std::size_t moves = 0;
    for (int rounds = 0; rounds < 1000; ++rounds) {
        const auto changes = placement.plan(input);
        if (changes.empty()) {
            return moves;
        }
        for (const auto &it : changes) {
            moves += it.from ? 1 : 0;
            input.partitions[it.partition.value].owner = it.to;
        }
    }
    ADD_FAILURE() << "the placement does not converge";
    return moves;
}

std::map<SessionId, std::uint32_t> partitionCounts(const PlacementInput &input)
{
    std::map<SessionId, std::uint32_t> all;
    for (const auto &it : input.partitions) {
        ++all[it.owner];
    }
    return all;
}

/// Minimum number of moves that meets the bounds, computed from the counts alone.
std::size_t minimumMoves(const PlacementInput &input, const std::vector<std::uint32_t> &bounds)
{
    const auto counts = partitionCounts(input);
    std::size_t moves = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        const auto it = counts.find(input.receivers[i].session);
        moves += it != counts.end() && it->second > bounds[i] ? it->second - bounds[i] : 0;
    }
    return moves;
}

PlacementInput randomInput()
{
    auto input = emptyInput(*rc::gen::inRange(1, 12), static_cast<std::size_t>(*rc::gen::inRange(1, 300)));
    for (auto &it : input.receivers) {
        it.weight = *rc::gen::inRange(1, 6);
        it.mayOwn = *rc::gen::inRange(0, 4) != 0;
    }
    input.receivers.front().mayOwn = true;
    for (auto &it : input.partitions) {
        it.owner = SessionId{ static_cast<std::uint64_t>(*rc::gen::inRange<int>(0, static_cast<int>(input.receivers.size()) + 1)) };
    }
    return input;
}

} // namespace

RC_GTEST_PROP(BoundedLoad, MeetsTheBoundWithTheLeastMoves, ())
{
    auto input = randomInput();
    const auto bounds = BoundedLoadPlacement::bounds(input);
    const auto least = minimumMoves(input, bounds);
    RC_ASSERT(applyAllChanges(BoundedLoadPlacement(), input) == least);
    const auto counts = partitionCounts(input);
    RC_ASSERT(!counts.contains(SessionId()));
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        const auto it = counts.find(input.receivers[i].session);
        RC_ASSERT((it == counts.end() ? 0 : it->second) <= bounds[i]);
    }
}

RC_GTEST_PROP(BoundedLoad, NeverMovesMoreThanARecomputation, ())
{
    // The naive recomputation has the same bounds: it assigns all partitions anew, in order, filling each receiver up to its bound.
    auto input = randomInput();
    const auto bounds = BoundedLoadPlacement::bounds(input);
    std::size_t naiveMoves = 0;
    std::size_t current = 0;
    std::uint32_t assigned = 0;
    for (const auto &it : input.partitions) {
        while (assigned >= bounds[current]) {
            ++current;
            assigned = 0;
        }
        ++assigned;
        naiveMoves += it.owner && it.owner != input.receivers[current].session ? 1 : 0;
    }
    RC_ASSERT(applyAllChanges(BoundedLoadPlacement(), input) <= naiveMoves);
}

RC_GTEST_PROP(BoundedLoad, KeepsTheLimitsOnIncomingMoves, ())
{
    auto input = randomInput();
    for (auto &it : input.receivers) {
        it.maxIncomingMoves = static_cast<std::uint32_t>(*rc::gen::inRange(0, 5));
        it.mayReceive = *rc::gen::inRange(0, 4) != 0;
    }
    std::map<SessionId, std::uint32_t> incomingMoves;
    for (const auto &it : BoundedLoadPlacement().plan(input)) {
        incomingMoves[it.to] += it.from ? 1 : 0;
    }
    for (const auto &it : input.receivers) {
        RC_ASSERT(incomingMoves[it.session] <= it.maxIncomingMoves);
        RC_ASSERT(it.mayReceive || incomingMoves[it.session] == 0);
    }
}

TEST(BoundedLoad, DoesNotChangeBlockedOrMovingPartitions)
{
    auto input = emptyInput(2, 4);
    input.receivers[0].mayOwn = false;
    for (auto &it : input.partitions) {
        it.owner = SessionId{ 1 };
    }
    input.partitions[0].isBlocked = true;
    input.partitions[1].movingTo = SessionId{ 2 };
    input.receivers[1].maxIncomingMoves = 2;
    const std::vector<PlacementChange> expected{ { PartitionId{ 2 }, SessionId{ 1 }, SessionId{ 2 } } };
    EXPECT_EQ(BoundedLoadPlacement().plan(input), expected);
}

TEST(BoundedLoad, RespectsWeights)
{
    auto input = emptyInput(2, 100);
    input.receivers[1].weight = 3;
    applyAllChanges(BoundedLoadPlacement(), input);
    const auto counts = partitionCounts(input);
    EXPECT_NEAR(counts.at(SessionId{ 1 }), 25, 3);
    EXPECT_NEAR(counts.at(SessionId{ 2 }), 75, 8);
}

TEST(BoundedLoad, GrantsAboveTheBoundRatherThanLeaveAKeyWithoutOwner)
{
    auto input = emptyInput(3, 30);
    input.receivers[1].mayReceive = false;
    input.receivers[2].mayReceive = false;
    EXPECT_EQ(BoundedLoadPlacement().plan(input).size(), 30U);
}

TEST(BoundedLoad, WithoutReceiversNothingMoves)
{
    auto input = emptyInput(1, 8);
    input.receivers[0].mayOwn = false;
    input.partitions[0].owner = SessionId{ 1 };
    EXPECT_TRUE(BoundedLoadPlacement().plan(input).empty());
}

TEST(HashModulo, MovesMostPartitionsWhenAnInstanceComes)
{
    auto input = emptyInput(5, 250);
    applyAllChanges(HashModuloPlacement(), input);
    input.receivers.push_back(receiver(6));
    auto bounded = input;
    EXPECT_GT(applyAllChanges(HashModuloPlacement(), input), 190U);
    EXPECT_LT(applyAllChanges(BoundedLoadPlacement(), bounded), 50U);
}
