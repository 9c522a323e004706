// Guards against keys that move unnecessarily, an overloaded holder that keeps its load, and the keys of several lost holders that
// are all assigned to one holder.
#include "fleet/key_planner.h"

#include "fleet/holder_capacities.h"
#include "fleet/key_rows.h"

#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;

namespace
{

double movedShare(const std::vector<KeyMove> &moves)
{
    double keys = 0;
    for (const auto &it : moves) {
        keys += it.range.size();
    }
    return keys / kKeyCount;
}

/// Ranges of the holders after the moves.
std::vector<PlannedRange> after(const std::vector<PlannedRange> &present, const std::vector<KeyMove> &moves)
{
    std::vector<PlannedRange> ranges = present;
    for (const auto &move : moves) {
        std::vector<PlannedRange> next;
        for (const auto &it : ranges) {
            if (!it.range.overlaps(move.range)) {
                next.push_back(it);
                continue;
            }
            EXPECT_EQ(it.holder, move.from);
            if (it.range.from < move.range.from) {
                next.push_back({ { it.range.from, move.range.from - 1 }, it.holder });
            }
            if (it.range.to > move.range.to) {
                next.push_back({ { move.range.to + 1, it.range.to }, it.holder });
            }
        }
        next.push_back({ move.range, move.to });
        ranges = next;
    }
    return ranges;
}

/// Even demand of @p rate requests per second in total, plus @p hotRate in total for @p hotKeys keys from @p hot on.
std::vector<DemandPoint> demandWithHotKeys(double rate, std::uint32_t hot, std::uint32_t hotKeys, double hotRate)
{
    std::vector<DemandPoint> demand;
    for (std::uint32_t i = 0; i < 1024; ++i) {
        demand.push_back({ i * 64 + 32, rate / 1024 });
    }
    for (std::uint32_t i = 0; i < hotKeys; ++i) {
        demand.push_back({ hot + i, hotRate / hotKeys });
    }
    std::sort(demand.begin(), demand.end(), [](const auto &a, const auto &b) { return a.key < b.key; });
    return demand;
}

} // namespace

// Adjacent busy keys, as in the hot_key fault: 200 keys get 40 % of the requests to 46 holders.
TEST(SlicePlanner, SpreadsAdjacentBusyKeysAndMovesLittleElse)
{
    const std::vector<double> capacities(46, 40);
    const auto demand = demandWithHotKeys(660, 30'000, 200, 440);
    const auto present = partitionEvenly(46);
    const auto slices = SlicePlanner().plan(demand, present, capacities);
    const auto whole = RepartitionPlanner().plan(demand, present, capacities);
    EXPECT_GE(peakUtilisation(present, demand, capacities), 10);
    EXPECT_LE(peakUtilisation(after(present, slices), demand, capacities), 0.85);
    EXPECT_LE(movedShare(slices), 0.03);
    EXPECT_GE(movedShare(whole), 0.3); // Repartitioning interrupts most holders.
}

// One hot key with more demand than the capacity of a holder: it stays, and all other keys move away from its holder.
TEST(SlicePlanner, LeavesAHotKeyAlone)
{
    const std::vector<double> capacities(6, 60);
    const auto demand = demandWithHotKeys(200, 12'345, 1, 90);
    const auto present = partitionEvenly(6);
    const auto moves = SlicePlanner().plan(demand, present, capacities);
    const auto ranges = after(present, moves);
    EXPECT_LE(peakUtilisation(ranges, demand, capacities), 1.65);
    for (const auto &it : moves) {
        EXPECT_FALSE(it.range.contains(12'345));
    }
}

TEST(SlicePlanner, MovesNothingWhileTheLoadIsEvenOrLow)
{
    const std::vector<double> capacities(8, 50);
    const auto present = partitionEvenly(8);
    EXPECT_TRUE(SlicePlanner().plan(demandWithHotKeys(390, 0, 1, 0), present, capacities).empty());
    EXPECT_TRUE(SlicePlanner().plan(demandWithHotKeys(40, 1000, 10, 30), present, capacities).empty());
}

// All holders are equally overloaded; moving keys would only interrupt them.
TEST(SlicePlanner, MovesNothingWhenAllAreOverloadedAlike)
{
    const std::vector<double> capacities(8, 50);
    EXPECT_TRUE(SlicePlanner().plan(demandWithHotKeys(900, 0, 1, 0), partitionEvenly(8), capacities).empty());
}

// Slow instances: holders differ in capacity by a factor of three.
TEST(SlicePlanner, GivesSlowHoldersLess)
{
    const std::vector<double> capacities{ 20, 60, 60, 40, 60, 20, 40, 60 };
    const auto demand = demandWithHotKeys(270, 0, 1, 0);
    const auto present = partitionEvenly(8);
    const auto moves = SlicePlanner().plan(demand, present, capacities);
    EXPECT_GE(peakUtilisation(present, demand, capacities), 1.6);
    EXPECT_LE(peakUtilisation(after(present, moves), demand, capacities), 0.96);
}

// Load pattern: holders whose learned speeds differ by a factor of three; the time in the slot is the same, since requests mostly wait for
// nested calls. Keys are not served while they move, so the variation of a learned speed by a tenth must move none.
TEST(SlicePlanner, FollowsLearnedSpeedsButNotTheirVariation)
{
    const std::vector<std::uint32_t> speeds{ 500, 1600, 1500, 800, 1300, 600, 1100, 700 };
    const auto capacitiesAt = [&speeds](double slower, double faster) {
        HolderCapacities capacities;
        std::vector<wire::InstanceReport> reports(speeds.size());
        for (std::size_t i = 0; i < speeds.size(); ++i) {
            reports[i].set_service("svc");
            reports[i].set_slots(9);
            reports[i].set_work_us(180'000);
            reports[i].set_speed_permille(static_cast<std::uint32_t>(speeds[i] * (i % 2 == 0 ? slower : faster)));
            capacities.add(reports[i]);
        }
        std::vector<double> result;
        std::transform(reports.begin(), reports.end(), std::back_inserter(result), [&](const auto &it) { return capacities.of(it); });
        return result;
    };
    const auto demand = demandWithHotKeys(330, 0, 1, 0);
    const auto even = partitionEvenly(speeds.size());
    const auto known = capacitiesAt(1, 1);
    ASSERT_GE(peakUtilisation(even, demand, known), 1.6);
    const auto planned = after(even, SlicePlanner().plan(demand, even, known));
    const double mean = 330 / std::accumulate(known.begin(), known.end(), 0.0);
    EXPECT_LE(peakUtilisation(planned, demand, known), mean * 1.26); // Holders release keys from 1.25 times the mean.
    EXPECT_TRUE(SlicePlanner().plan(demand, planned, capacitiesAt(0.9, 1.1)).empty());
    EXPECT_TRUE(SlicePlanner().plan(demand, planned, capacitiesAt(1.1, 0.9)).empty());
}

TEST(SlicePlanner, GivesAJoiningHolderKeysWithAndWithoutDemand)
{
    auto present = partitionEvenly(3);
    const std::vector<double> capacities(4, 50);
    for (const double rate : { 0.0, 60.0 }) {
        const auto moves = SlicePlanner().plan(demandWithHotKeys(rate, 0, 1, 0), present, capacities);
        ASSERT_EQ(moves.size(), 1U);
        EXPECT_EQ(moves.front().to, 3U);
        EXPECT_GE(movedShare(moves), 0.1);
    }
}

RC_GTEST_PROP(SlicePlanner, MovesEachKeyOnceAndFromItsHolder, ())
{
    const auto n = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<double> capacities;
    for (std::size_t i = 0; i < n; ++i) {
        capacities.push_back(*rc::gen::inRange(5, 100));
    }
    const auto hot = *rc::gen::inRange<std::uint32_t>(0, 65'000);
    const auto demand
        = demandWithHotKeys(*rc::gen::inRange(0, 800), hot, *rc::gen::inRange<std::uint32_t>(1, 300), *rc::gen::inRange(0, 500));
    const auto present = partitionEvenly(n);
    const auto moves = SlicePlanner().plan(demand, present, capacities);
    for (std::size_t i = 0; i < moves.size(); ++i) {
        RC_ASSERT(moves[i].from != moves[i].to);
        RC_ASSERT(moves[i].range.from <= moves[i].range.to && moves[i].range.to < kKeyCount);
        for (const auto &it : present) {
            RC_ASSERT(!it.range.overlaps(moves[i].range) || it.holder == moves[i].from);
        }
        for (std::size_t k = 0; k < i; ++k) {
            RC_ASSERT(!moves[i].range.overlaps(moves[k].range));
        }
    }
    RC_ASSERT(peakUtilisation(after(present, moves), demand, capacities) <= peakUtilisation(present, demand, capacities) + 1e-9);
}

// Loss of a failure domain: the keys of a quarter of the holders are distributed among the others.
TEST(KeyLoads, SpreadsTheKeysOfManyLostHolders)
{
    const auto demand = demandWithHotKeys(800, 100, 50, 100);
    KeyLoads loads(demand, std::vector<double>(36, 40));
    for (const auto &it : partitionEvenly(48)) {
        if (it.holder < 36) {
            loads.assign(it.range, it.holder);
        }
    }
    for (const auto &it : partitionEvenly(48)) {
        if (it.holder >= 36) {
            loads.distribute(it.range);
        }
    }
    double peak = 0;
    for (std::size_t i = 1; i < loads.holderCount(); ++i) { // Holder 0 had the hot keys before.
        peak = std::max(peak, loads.utilisation(i));
    }
    EXPECT_LE(peak, 1.5 * loads.meanUtilisation());
}

TEST(KeyLoads, DividesARangeThatIsTooMuchForOne)
{
    KeyLoads loads(demandWithHotKeys(200, 0, 1, 0), std::vector<double>(4, 60));
    const auto parts = loads.distribute({ 0, kKeyCount - 1 });
    EXPECT_GE(parts.size(), 3U);
    std::uint32_t next = 0;
    for (const auto &it : parts) {
        EXPECT_EQ(it.range.from, next);
        next = it.range.to + 1;
    }
    EXPECT_EQ(next, kKeyCount);
}

TEST(KeyLoads, SlicesFromEitherEnd)
{
    const KeyLoads loads({ { 10, 5 }, { 20, 5 }, { 30, 5 } }, { 1 });
    EXPECT_EQ(loads.slice({ 0, 40 }, 6, false), (KeyRange{ 0, 19 }));
    EXPECT_EQ(loads.slice({ 0, 40 }, 6, true), (KeyRange{ 21, 40 }));
    EXPECT_EQ(loads.slice({ 10, 10 }, 1, false), (KeyRange{ 10, 10 }));
}
