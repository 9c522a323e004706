// Guards against orders that are lost, refused when retried after acceptance, or accepted twice on the same version, and against
// fencing tokens that do not increase.
#include "fleet/fleet_state.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

class FleetStateTest : public testing::Test
{
protected:
    FleetStateTest()
    {
        m_state.setListener([this](LogIndex, const wire::FleetCommand &, CommandOutcome outcome) { m_outcome = outcome; });
    }

    CommandOutcome apply(const wire::FleetCommand &command)
    {
        m_state.apply(LogIndex{ ++m_index }, command.SerializeAsString());
        return m_outcome;
    }

    CommandOutcome put(const std::string &order, std::uint64_t base, std::uint64_t version)
    {
        wire::FleetCommand command;
        auto &change = *command.mutable_change_manifest();
        change.set_order(order);
        change.set_base_version(base);
        change.set_whole(true);
        change.mutable_upsert()->set_version(version);
        (*change.mutable_upsert()->mutable_routes())["r"] = order;
        return apply(command);
    }

    CommandOutcome setKeys(std::uint64_t revision, const std::vector<KeyRow> &rows)
    {
        wire::FleetCommand command;
        command.mutable_set_keys()->set_service("svc");
        command.mutable_set_keys()->set_revision(revision);
        for (const auto &it : rows) {
            *command.mutable_set_keys()->add_rows() = toWire(it);
        }
        return apply(command);
    }

    FleetState m_state;
    CommandOutcome m_outcome = CommandOutcome::Conflict;
    std::uint64_t m_index = 0;
};

} // namespace

// Guards against controllers that end at each start because their log has a command that they cannot read.
TEST_F(FleetStateTest, ACommandThatCannotBeReadHasNoEffect)
{
    ASSERT_EQ(put("a", 0, 3), CommandOutcome::Applied);
    wire::FleetCommand command;
    command.mutable_set_evacuation()->set_failure_domain("\xff");
    command.mutable_set_evacuation()->set_active(true);
    EXPECT_EQ(apply(command), CommandOutcome::Conflict);
    EXPECT_TRUE(m_state.evacuated().empty());
    EXPECT_EQ(put("b", 3, 7), CommandOutcome::Applied);
    EXPECT_TRUE(FleetState().restore(m_state.snapshot()));
}

TEST_F(FleetStateTest, AcceptsOneOfTwoChangesOnTheSameVersion)
{
    EXPECT_EQ(put("a", 0, 3), CommandOutcome::Applied);
    EXPECT_EQ(put("b", 3, 7), CommandOutcome::Applied);
    EXPECT_EQ(put("c", 3, 7), CommandOutcome::Conflict);
    EXPECT_EQ(m_state.manifest().routes().at("r"), "b");
}

TEST_F(FleetStateTest, KnowsAnAcceptedOrderAgainAfterOthersAndAfterASnapshot)
{
    put("a", 0, 3);
    put("b", 3, 7);
    EXPECT_EQ(put("a", 0, 3), CommandOutcome::Repeated);
    FleetState restored;
    ASSERT_TRUE(restored.restore(m_state.snapshot()));
    EXPECT_TRUE(restored.isAccepted("a"));
    EXPECT_FALSE(restored.isAccepted("c"));
    EXPECT_EQ(restored.manifest().version(), 7U);
}

// A snapshot skips versions, so that what changed since the manifest before it is unknown.
TEST_F(FleetStateTest, NamesTheBaseOfAManifestUnlessItComesFromASnapshot)
{
    put("a", 0, 3);
    put("b", 3, 7);
    put("c", 3, 8);
    EXPECT_EQ(m_state.manifestBase(), 3U);
    FleetState restored;
    put("d", 7, 9);
    ASSERT_TRUE(restored.restore(m_state.snapshot()));
    EXPECT_EQ(restored.manifestBase(), 0U);
    ASSERT_TRUE(m_state.restore(m_state.snapshot()));
    EXPECT_EQ(m_state.manifestBase(), 0U);
}

TEST_F(FleetStateTest, RefusesAVersionThatDoesNotGrow)
{
    put("a", 0, 3);
    EXPECT_EQ(put("b", 3, 3), CommandOutcome::Conflict);
    EXPECT_EQ(put("c", 3, 2), CommandOutcome::Conflict);
}

TEST_F(FleetStateTest, MergesAChangeOfItems)
{
    put("a", 0, 3);
    wire::ChangeManifest change;
    change.set_base_version(3);
    change.mutable_upsert()->set_version(4);
    (*change.mutable_upsert()->mutable_routes())["s"] = "new";
    change.add_removed_routes("r");
    const auto after = m_state.manifestAfter(change);
    EXPECT_EQ(after.version(), 4U);
    EXPECT_EQ(after.routes().count("r"), 0U);
    EXPECT_EQ(after.routes().at("s"), "new");
}

TEST_F(FleetStateTest, TakesFencingTokensFromTheLog)
{
    setKeys(0, { { { 0, kKeyCount - 1 }, "a", "ip", 0, {} } });
    const auto first = m_state.tables().at("svc");
    EXPECT_EQ(first.keys.at(0).fencingToken, 1U);
    put("x", 0, 1);
    setKeys(first.revision, { { { 0, 9 }, "b", "ip", 0, {} }, { { 10, kKeyCount - 1 }, "a", "ip", 1, {} } });
    EXPECT_EQ(m_state.tables().at("svc").keys.at(0).fencingToken, 3U);
    EXPECT_EQ(m_state.tables().at("svc").keys.at(10).fencingToken, 1U);
}

TEST_F(FleetStateTest, RefusesAKeyTableOnAnOldRevisionOrWithGaps)
{
    setKeys(0, { { { 0, kKeyCount - 1 }, "a", "ip", 0, {} } });
    EXPECT_EQ(setKeys(0, { { { 0, kKeyCount - 1 }, "b", "ip", 0, {} } }), CommandOutcome::Conflict);
    EXPECT_EQ(setKeys(1, { { { 1, kKeyCount - 1 }, "b", "ip", 0, {} } }), CommandOutcome::Conflict);
    EXPECT_EQ(m_state.tables().at("svc").keys.at(5).holder, "a");
}

TEST_F(FleetStateTest, KeepsEvacuationsOverASnapshot)
{
    wire::FleetCommand command;
    command.mutable_set_evacuation()->set_failure_domain("a");
    command.mutable_set_evacuation()->set_active(true);
    EXPECT_EQ(apply(command), CommandOutcome::Applied);
    EXPECT_EQ(apply(command), CommandOutcome::Repeated);
    FleetState restored;
    ASSERT_TRUE(restored.restore(m_state.snapshot()));
    EXPECT_EQ(restored.evacuated().count("a"), 1U);
}

// A new leader forgot which backend servers leave if their gateways were restarted.
TEST_F(FleetStateTest, KeepsWhichBackendServerLeavesOverASnapshot)
{
    const auto leave = [this](const std::string &router, const std::string &incarnation) {
        wire::FleetCommand command;
        command.mutable_set_leaving()->set_router(router);
        command.mutable_set_leaving()->set_incarnation(incarnation);
        return apply(command);
    };
    EXPECT_EQ(leave("10.0.0.1", "a@1"), CommandOutcome::Applied);
    EXPECT_EQ(leave("10.0.0.1", "a@1"), CommandOutcome::Repeated);
    EXPECT_EQ(leave("10.0.0.1", "a@2"), CommandOutcome::Applied);
    EXPECT_EQ(leave("10.0.0.1", "a@1"), CommandOutcome::Repeated);
    EXPECT_EQ(leave("10.0.0.1", "b@1"), CommandOutcome::Applied);
    EXPECT_EQ(leave("", "a@2"), CommandOutcome::Conflict);
    EXPECT_EQ(leave("10.0.0.2", ""), CommandOutcome::Conflict);
    FleetState restored;
    ASSERT_TRUE(restored.restore(m_state.snapshot()));
    EXPECT_EQ(restored.leavingBeside("10.0.0.1").latest(), "a@2");
    EXPECT_TRUE(restored.leavingBeside("10.0.0.1").covers("b@1"));
    EXPECT_EQ(restored.leavingBeside("10.0.0.2").latest(), "");
    EXPECT_EQ(restored.snapshot(), m_state.snapshot());
}

TEST_F(FleetStateTest, BoundsTheRecordOfBackendServersThatLeave)
{
    constexpr int kMany = 5000;
    wire::FleetCommand command;
    for (int i = 0; i < kMany; ++i) {
        command.mutable_set_leaving()->set_router("router-" + std::to_string(i));
        command.mutable_set_leaving()->set_incarnation("a@1");
        apply(command);
    }
    EXPECT_EQ(m_state.leavingBeside("router-0").latest(), "");
    EXPECT_EQ(m_state.leavingBeside("router-" + std::to_string(kMany - 1)).latest(), "a@1");
}

TEST_F(FleetStateTest, RefusesASnapshotThatCannotBeRead)
{
    FleetState restored;
    EXPECT_FALSE(restored.restore("\xff\xff\xff"));
}
