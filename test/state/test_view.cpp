// Guards against routers that use a stale or diverged view without detecting it, and against wrong inheritance of settings.
#include "prove/state/state_run.h"
#include "test/state/command_builders.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::testing;

namespace
{

class ViewTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        harness.edit("a", { rowEdit("clue-svc/*/*", { "key=segment:1", "partitions=8" }) });
        harness.apply(registerCommand(11, "clue-svc", "jm-a", "one"));
        harness.apply(grantCommand("clue-svc", 3, 11, 0));
    }

    wire::ViewDelta delta(std::uint64_t from) const
    {
        return harness.state.deltasSince(LogIndex{ from }).value().deltas(0);
    }

    StateHarness harness;
    View view;
};

} // namespace

TEST_F(ViewTest, AppliesDeltasInOrderOnly)
{
    ASSERT_TRUE(view.applySnapshot(harness.view().toWire()));
    harness.apply(expireCommand(11));
    harness.apply(registerCommand(12, "clue-svc", "jm-a", "one"));
    EXPECT_FALSE(view.applyDelta(delta(4)));
    EXPECT_EQ(view.version(), LogIndex{ 3 });
    EXPECT_TRUE(view.applyDelta(delta(3)));
    EXPECT_FALSE(view.applyDelta(delta(3)));
    EXPECT_TRUE(view.applyDelta(delta(4)));
    EXPECT_EQ(view.digest(), harness.view().digest());
    EXPECT_EQ(dump(view), dump(harness.view()));
}

TEST_F(ViewTest, DriftEmptiesTheView)
{
    ASSERT_TRUE(view.applySnapshot(harness.view().toWire()));
    harness.apply(expireCommand(11));
    auto altered = delta(3);
    altered.mutable_services(0)->mutable_assignments(0)->set_owner(11);
    EXPECT_FALSE(view.applyDelta(altered));
    EXPECT_EQ(view.version(), LogIndex());
    EXPECT_EQ(view.ownerOf("clue-svc", KeyHash{ 3 }), std::nullopt);
    auto copy = harness.view().toWire();
    copy.mutable_services(0)->mutable_assignments(0)->set_partition(4);
    EXPECT_FALSE(view.applySnapshot(copy));
    EXPECT_EQ(view.version(), LogIndex());
    EXPECT_TRUE(view.applySnapshot(harness.view().toWire()));
}

TEST_F(ViewTest, DeltaForAPartitionThatDoesNotExistIsDrift)
{
    ASSERT_TRUE(view.applySnapshot(harness.view().toWire()));
    harness.apply(expireCommand(11));
    auto altered = delta(3);
    altered.mutable_services(0)->mutable_assignments(0)->set_partition(4'000'000'000);
    EXPECT_FALSE(view.applyDelta(altered));
    EXPECT_EQ(view.version(), LogIndex());
}

TEST_F(ViewTest, The1024LastDeltasAreKeptAndARestoredStateHasNone)
{
    for (int i = 0; i < 1030; ++i) {
        harness.apply({});
    }
    EXPECT_EQ(harness.state.deltasSince(LogIndex{ 8 }), std::nullopt);
    EXPECT_EQ(harness.state.deltasSince(LogIndex{ 9 }).value().deltas_size(), 1024);
    EXPECT_EQ(harness.state.deltasSince(LogIndex{ 1033 }).value().deltas_size(), 0);
    EXPECT_EQ(harness.state.deltasSince(LogIndex{ 2000 }), std::nullopt);
    ClusterState restored;
    ASSERT_TRUE(restored.restore(harness.state.snapshot()));
    EXPECT_EQ(restored.deltasSince(LogIndex{ 1032 }), std::nullopt);
    EXPECT_EQ(restored.deltasSince(LogIndex{ 1033 }).value().deltas_size(), 0);
}

TEST_F(ViewTest, DamagedSnapshotIsRefusedAndLeavesTheStateAsItIs)
{
    const auto codeOf = [this](const std::string &data) {
        return handleError(
            [&]() -> Result<ErrorCode> {
                BOOST_LEAF_CHECK(harness.state.restore(data));
                return ErrorCode::NotFound;
            },
            [](const Error &error) { return error.code; });
    };
    wire::StateSnapshot altered;
    ASSERT_TRUE(altered.ParseFromString(harness.state.snapshot()));
    altered.mutable_view()->mutable_sessions(0)->set_cold(true);
    EXPECT_EQ(codeOf(altered.SerializeAsString()), ErrorCode::Corrupt);
    EXPECT_EQ(codeOf("\xff\xff"), ErrorCode::Corrupt);
    EXPECT_EQ(harness.view().version(), LogIndex{ 3 });
}

TEST_F(ViewTest, MostSpecificNumberAndMostRestrictiveStateApply)
{
    EXPECT_EQ(harness.view().effectiveRow("clue-svc", "jm-a", "one"), EffectiveRow());
    harness.edit("b",
                 { rowEdit("*/jm-a/*", { "weight=1", "slots=1", "connections=1", "state=leaving", "leave_time=2026-12-04T12:00:00Z" }) });
    harness.edit("c", { rowEdit("clue-svc/*/*", { "weight=2", "slots=2", "leave_time=2026-12-04T11:00:00Z" }, 1) });
    harness.edit("d", { rowEdit("clue-svc/jm-a/*", { "weight=3" }) });
    harness.edit("e", { rowEdit("clue-svc/jm-a/one", { "weight=4", "state=serving" }) });
    const auto one = harness.view().effectiveRow("clue-svc", "jm-a", "one");
    EXPECT_EQ(one.weight, 4);
    EXPECT_EQ(one.slots, 2);
    EXPECT_EQ(one.connections, 1);
    EXPECT_EQ(one.state, wire::LEAVING);
    EXPECT_EQ(one.leaveTime, WallTime(std::chrono::milliseconds(1'796'382'000'000)));
    EXPECT_EQ(harness.view().effectiveRow("clue-svc", "jm-a", "two").weight, 3);
    EXPECT_EQ(harness.view().effectiveRow("clue-svc", "jm-b", "one").weight, 2);
    EXPECT_EQ(harness.view().effectiveRow("hunt-svc", "jm-a", "one").weight, 1);
    EXPECT_EQ(harness.view().instancesOf("clue-svc")[0].row, one);
}

TEST_F(ViewTest, LeaveTimeTurnsServingIntoLeaving)
{
    EffectiveRow row;
    row.leaveTime = WallTime(std::chrono::milliseconds(1000));
    EXPECT_EQ(row.stateAt(WallTime(std::chrono::milliseconds(999))), wire::SERVING);
    EXPECT_EQ(row.stateAt(*row.leaveTime), wire::LEAVING);
    row.state = wire::OUT;
    EXPECT_EQ(row.stateAt(*row.leaveTime), wire::OUT);
}

TEST_F(ViewTest, CopyDoesNotPointIntoTheOriginal)
{
    const auto *original = harness.view().instancesOf("clue-svc")[0].session;
    const View copy = harness.view();
    EXPECT_NE(copy.instancesOf("clue-svc")[0].session, original);
}

TEST_F(ViewTest, ListenerSeesAnswerAndDelta)
{
    int calls = 0;
    harness.state.setListener([&calls](const AppliedCommand &applied) {
        ++calls;
        EXPECT_EQ(applied.index, LogIndex{ 4 });
        EXPECT_TRUE(applied.command.has_expire_session());
        EXPECT_EQ(applied.answer.acceptedParts, 1);
        EXPECT_EQ(applied.delta.removed_sessions(0), 11);
        EXPECT_EQ(applied.delta.services(0).assignments_size(), 1);
    });
    harness.apply(expireCommand(11));
    EXPECT_EQ(calls, 1);
}

RC_GTEST_PROP(StateRuns, AgreeWithTheNaiveVersionUnderFaults, ())
{
    StateRun run(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 200 && run.violations().empty(); ++i) {
        run.step();
    }
    RC_ASSERT(run.violations() == std::vector<std::string>());
}

TEST(StateRun, LongRunReachesEveryKindOfChangeAndFault)
{
    StateRun run(7);
    for (int i = 0; i < 3000 && run.violations().empty(); ++i) {
        run.step();
    }
    EXPECT_EQ(run.violations(), std::vector<std::string>());
    for (const auto *kind : { "racing_edits",
                              "resends",
                              "restarts",
                              "malformed",
                              "session_ends",
                              "grants",
                              "moves",
                              "releases",
                              "hot_key_changes",
                              "hot_key_releases",
                              "lost_deltas",
                              "late_deltas",
                              "repeated_deltas",
                              "altered_deltas",
                              "full_copies" }) {
        EXPECT_TRUE(run.faults().contains(kind) && run.faults().at(kind) > 0) << kind;
    }
}
