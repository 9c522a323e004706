// Guards against grants while a lease may be valid, leases for old views, and decisions of a controller that may no longer lead.
#include "coordinator_fixture.h"

using namespace Toucandeck;

TEST_F(CoordinatorTest, FollowerNamesTheLeader)
{
    EXPECT_FALSE(renew(1));
    ASSERT_EQ(sentMessages.size(), 1U);
    EXPECT_EQ(sentMessages[0].second.not_leader().leader_address(), "controller-2");
}

TEST_F(CoordinatorTest, GrantsAllPartitionsWithinTheBound)
{
    start({ 1, 2 });
    EXPECT_EQ(ownedPartitions(1) + ownedPartitions(2), 8U);
    EXPECT_LE(ownedPartitions(1), 5U);
    EXPECT_LE(ownedPartitions(2), 5U);
}

TEST_F(CoordinatorTest, SessionWithoutBackendServerOwnsNothingNew)
{
    coordinator.onLeadershipGained();
    auto session = description(1);
    session.set_backend_ready(false);
    registerRouter(session);
    auto body = renewal(1);
    body.set_backend_ready(false);
    EXPECT_TRUE(renew(body));
    tickAndCommit();
    EXPECT_EQ(ownedPartitions(1), 0U);
    EXPECT_TRUE(renew(1));
    tickAndCommit();
    EXPECT_EQ(ownedPartitions(1), 8U);
}

TEST_F(CoordinatorTest, LeaseOfALostRouterIsWaitedFor)
{
    start({ 1, 2 });
    const auto lostRouterPartitions = ownedPartitions(2);
    ASSERT_GT(lostRouterPartitions, 0U);
    runFor(600ms, { 1 });
    EXPECT_EQ(ownedPartitions(2), lostRouterPartitions) << "granted 600 ms after the renewal, when a slow clock still counts the lease";
    runFor(1ms, { 1 });
    tickAndCommit();
    EXPECT_EQ(ownedPartitions(1), 8U);
}

TEST_F(CoordinatorTest, BackendServersThatCheckNoGrantsAreWaitedFor)
{
    coordinator.onLeadershipGained();
    registerRouter(description(1, false));
    renew(1);
    tickAndCommit();
    ASSERT_EQ(ownedPartitions(1), 8U);
    registerRouter(description(2));
    runFor(850ms, { 2 });
    EXPECT_EQ(state.view().session(SessionId{ 1 }), nullptr);
    EXPECT_EQ(ownedPartitions(2), 0U);
    runFor(1ms, { 2 });
    EXPECT_EQ(ownedPartitions(2), 8U);
}

TEST_F(CoordinatorTest, NewLeaderCountsEverySessionAsJustRenewed)
{
    start({ 1, 2 });
    const auto lostRouterPartitions = ownedPartitions(2);
    runFor(500ms, { 1 });
    coordinator.onLeadershipLost();
    coordinator.onLeadershipGained();
    runFor(600ms, { 1 });
    EXPECT_EQ(ownedPartitions(2), lostRouterPartitions);
    runFor(1ms, { 1 });
    EXPECT_EQ(ownedPartitions(2), 0U);
}

TEST_F(CoordinatorTest, ExpiryOfAnEarlierLeaderDoesNotEndALeaseGivenSince)
{
    start({ 1, 2 });
    coordinator.onLeadershipLost();
    coordinator.onLeadershipGained();
    renew(1);
    renew(2);
    wire::Command command;
    command.mutable_expire_session()->set_session(2);
    apply(command);
    tickAndCommit();
    const auto before = ownedPartitions(1);
    EXPECT_LT(before, 8U);
    runFor(600ms, { 1 });
    EXPECT_EQ(ownedPartitions(1), before);
    runFor(1ms, { 1 });
    EXPECT_EQ(ownedPartitions(1), 8U);
}

TEST_F(CoordinatorTest, UnconfirmedLeaderNeitherRenewsNorExpires)
{
    start({ 1 });
    confirmedLeader = false;
    EXPECT_FALSE(renew(1));
    EXPECT_TRUE(sentMessages.empty());
    clock.advance(2s);
    coordinator.tick();
    EXPECT_TRUE(proposals.empty());
}

TEST_F(CoordinatorTest, LeaseIsNotExtendedOnceExpiryIsProposed)
{
    start({ 1 });
    clock.advance(601ms);
    coordinator.tick(); // Detects the pause.
    clock.advance(50ms);
    coordinator.tick();
    ASSERT_FALSE(proposals.empty());
    EXPECT_FALSE(renew(1));
}

TEST_F(CoordinatorTest, AfterAPauseWaitingRenewalsAreReadFirst)
{
    start({ 1 });
    clock.advance(3s);
    coordinator.tick();
    EXPECT_TRUE(renew(1));
    clock.advance(50ms);
    tickAndCommit();
    EXPECT_EQ(ownedPartitions(1), 8U);
}

TEST_F(CoordinatorTest, OldViewLosesItsLease)
{
    start({ 1 });
    auto old = renewal(1);
    registerRouter(description(2));
    clock.advance(1999ms);
    EXPECT_TRUE(renew(old));
    clock.advance(1ms);
    old.set_sequence(++sequence);
    EXPECT_FALSE(renew(old));
    EXPECT_EQ(countSent(wire::Envelope::kDeltas), 1U) << "the reply carries the deltas that the router lacks";
    EXPECT_TRUE(renew(1));
}

TEST_F(CoordinatorTest, WrongDigestGetsTheFullViewAndNoLease)
{
    start({ 1 });
    auto wrong = renewal(1);
    wrong.set_digest(wrong.digest() + 1);
    EXPECT_FALSE(renew(wrong));
    EXPECT_EQ(countSent(wire::Envelope::kFullView), 1U);
}

TEST_F(CoordinatorTest, SessionOpenedAgainByALateRegisterNeedsAViewFromAfterItsEnd)
{
    start({ 1 });
    const auto before = renewal(1);
    wire::Command command;
    command.mutable_expire_session()->set_session(1);
    apply(command);
    registerRouter(description(1));
    EXPECT_FALSE(renew(before)) << "the router would admit keys that it owned before the session ended";
    EXPECT_TRUE(renew(1));
}

TEST_F(CoordinatorTest, DeltasArriveInOrderWithoutGaps)
{
    start({ 1 });
    sentMessages.clear();
    wire::Envelope fetch;
    fetch.mutable_fetch_view()->set_session(1);
    coordinator.receive("clue-1", fetch);
    View view;
    for (int i = 2; i < 6; ++i) {
        registerRouter(description(static_cast<std::uint64_t>(i)));
    }
    for (const auto &[address, envelope] : sentMessages) {
        if (address != "clue-1") {
            continue;
        }
        if (envelope.has_full_view()) {
            ASSERT_TRUE(view.applySnapshot(envelope.full_view().view()));
        }
        for (const auto &it : envelope.deltas().deltas()) {
            ASSERT_TRUE(view.applyDelta(it));
        }
    }
    EXPECT_EQ(view.version(), state.view().version());
    EXPECT_EQ(view.digest(), state.view().digest());
}

TEST_F(CoordinatorTest, MovesAreLimitedAndPassOnAfterTheRelease)
{
    start({ 1 });
    registerRouter(description(2));
    renew(2);
    renew(1);
    tickAndCommit();
    const auto moving = [this] {
        const auto all = state.view().assignments("clue");
        return std::count_if(all.begin(), all.end(), [](const auto &it) { return it.moving_to() == 2; });
    };
    EXPECT_EQ(moving(), 3);
    EXPECT_EQ(ownedPartitions(1), 8U);
    release(1, 2, state.view().version());
    EXPECT_EQ(ownedPartitions(2), 3U);
}

TEST_F(CoordinatorTest, ReleaseOfAnEarlierMoveIsVoid)
{
    start({ 1 });
    const auto before = state.view().version();
    registerRouter(description(2));
    renew(2);
    renew(1);
    tickAndCommit();
    release(1, 2, before);
    EXPECT_EQ(ownedPartitions(2), 0U);
}

TEST_F(CoordinatorTest, ReleaseToALostReceiverIsVoid)
{
    start({ 1 });
    registerRouter(description(2));
    renew(2);
    tickAndCommit();
    clock.advance(601ms);
    renew(1);
    coordinator.tick();
    clock.advance(50ms);
    renew(1);
    coordinator.tick(); // Proposes the expiry of session 2.
    ASSERT_FALSE(proposals.empty());
    release(1, 2, state.view().version());
    EXPECT_EQ(ownedPartitions(1), 8U) << "the move is cancelled, and the owner admits again";
}

TEST_F(CoordinatorTest, LeaveTimeTurnsIntoLeavingAndMovesEverything)
{
    start({ 1, 2 });
    wire::Command command;
    command.mutable_edit_table()->set_request_id("edit");
    auto &row = *command.mutable_edit_table()->add_edits()->mutable_row();
    row.set_service("clue");
    row.set_failure_domain("a");
    row.set_instance("clue-1");
    row.set_leave_time_ms((clock.wallNow() + 150ms).time_since_epoch().count());
    apply(command);
    tickAndCommit();
    EXPECT_EQ(state.view().effectiveRow("clue", "a", "clue-1").state, wire::SERVING);
    clock.advance(150ms);
    renew(1);
    renew(2);
    for (int i = 0; i < 3; ++i) {
        tickAndCommit();
        release(1, 2, state.view().version());
        clock.advance(100ms);
        renew(1);
        renew(2);
    }
    EXPECT_EQ(state.view().effectiveRow("clue", "a", "clue-1").state, wire::LEAVING);
    EXPECT_FALSE(state.view().row({ "clue", "a", "clue-1" })->has_leave_time_ms());
    EXPECT_EQ(ownedPartitions(2), 8U);
}

TEST_F(CoordinatorTest, CloseEndsTheSessionAtOnce)
{
    start({ 1, 2 });
    wire::Envelope envelope;
    envelope.mutable_close()->set_session(1);
    coordinator.receive("clue-1", envelope);
    EXPECT_FALSE(renew(1));
    commit();
    EXPECT_EQ(countSent(wire::Envelope::kSessionEnded), 1U);
    tickAndCommit();
    EXPECT_EQ(ownedPartitions(2), 8U);
}

TEST_F(CoordinatorTest, StatusContainsWhatRoutersReported)
{
    start({ 1 });
    auto body = renewal(1);
    body.set_in_flight(5);
    body.set_load_permille(700);
    renew(body);
    ASSERT_EQ(coordinator.sessions().size(), 1U);
    const auto status = coordinator.sessions()[0];
    EXPECT_EQ(status.inFlight, 5U);
    EXPECT_EQ(status.loadPermille, 700U);
    EXPECT_EQ(status.lastRenewal, clock.now());
    EXPECT_TRUE(coordinator.isAppliedEverywhere(state.view().version()));
    registerRouter(description(2));
    EXPECT_FALSE(coordinator.isAppliedEverywhere(state.view().version()));
    coordinator.onLeadershipLost();
    EXPECT_TRUE(coordinator.sessions().empty());
    EXPECT_FALSE(coordinator.isAppliedEverywhere(LogIndex{ 1 }));
}
