// Guards against partitions that are still admitted after their release, and against sessions that end while work is in progress.
#include "router_agent_fixture.h"

using namespace Toucandeck;

TEST_F(RouterAgentTest, PartitionThatMovesAwayIsReleasedWithTheVersionOfTheView)
{
    start();
    move(PartitionId{ 2 }, kOtherSession);
    EXPECT_EQ(releasingItems.partitions, std::vector{ PartitionId{ 2 } });
    EXPECT_FALSE(admits(2));
    EXPECT_TRUE(admits(1));
    agent.completeRelease(releasingItems);
    ASSERT_NE(lastSent(wire::Envelope::kRelease), nullptr);
    EXPECT_EQ(lastSent(wire::Envelope::kRelease)->release().version(), state.view().version().value);
    EXPECT_EQ(lastSent(wire::Envelope::kRelease)->release().receiver(), kOtherSession);
    runFor(60ms);
    EXPECT_EQ(countSent(wire::Envelope::kRelease), 2) << "repeated until the view shows the new owner";
}

TEST_F(RouterAgentTest, CancelledMoveIsAdmittedAgain)
{
    start();
    move(PartitionId{ 2 }, kOtherSession);
    agent.completeRelease(releasingItems);
    sentMessages.clear();
    move(PartitionId{ 2 }, 0);
    EXPECT_EQ(cancelledItems.partitions, std::vector{ PartitionId{ 2 } });
    EXPECT_TRUE(admits(2));
    runFor(100ms);
    EXPECT_EQ(countSent(wire::Envelope::kRelease), 0);
}

TEST_F(RouterAgentTest, UnknownItemsAreNotReleased)
{
    start();
    agent.completeRelease({ "clue", { PartitionId{ 1 } }, {} });
    EXPECT_EQ(countSent(wire::Envelope::kRelease), 0);
}

TEST_F(RouterAgentTest, LeavingInstanceStopsBeforeThreeSecondsHaveGone)
{
    start();
    setState(wire::OUT);
    EXPECT_FALSE(agent.mayServeUnkeyed());
    for (int i = 0; i < 13; ++i) {
        runFor(210ms);
        answerRenewal();
        EXPECT_TRUE(admits(1)) << "partitions that no other router has taken over are still served";
    }
    runFor(210ms);
    answerRenewal();
    EXPECT_FALSE(admits(1));
    setState(wire::SERVING);
    EXPECT_TRUE(admits(1));
    EXPECT_TRUE(agent.mayServeUnkeyed());
}

TEST_F(RouterAgentTest, EndOfTheSessionCancelsAndRegistersAnew)
{
    start();
    const auto old = agent.session();
    wire::Envelope envelope;
    envelope.mutable_session_ended()->set_session(old.value);
    receive(envelope);
    EXPECT_EQ(leasesLost, 1);
    EXPECT_FALSE(admits(1));
    runFor(200ms);
    ASSERT_NE(lastSent(wire::Envelope::kRegisterSession), nullptr);
    EXPECT_NE(lastSent(wire::Envelope::kRegisterSession)->register_session().session().session(), old.value);
    // A delayed extension of the old session's lease must not count for the new session.
    wire::Envelope renewed;
    renewed.mutable_renewed()->set_session(old.value);
    renewed.mutable_renewed()->set_extended(true);
    renewed.mutable_renewed()->set_lease_ms(600);
    renewed.mutable_renewed()->set_sequence(1);
    receive(renewed);
    EXPECT_FALSE(agent.leaseEnd());
}

TEST_F(RouterAgentTest, CloseWaitsForMovesAndForRequestsInFlight)
{
    start();
    agent.setLoad({ 1, 0, {} });
    agent.close();
    EXPECT_FALSE(lastSent(wire::Envelope::kRenew)->renew().backend_ready());
    auto session = *state.view().session(agent.session());
    session.set_backend_ready(false);
    addSession(session);
    for (std::uint32_t i = 0; i < 4; ++i) {
        move(PartitionId{ i }, kOtherSession);
    }
    wire::Command command;
    command.mutable_release_partitions()->set_service("clue");
    command.mutable_release_partitions()->set_session(agent.session().value);
    for (std::uint32_t i = 0; i < 4; ++i) {
        command.mutable_release_partitions()->add_partitions(i);
    }
    apply(command);
    sendDeltas();
    runFor(10ms);
    EXPECT_EQ(countSent(wire::Envelope::kClose), 0) << "a request is in flight";
    agent.setLoad({});
    runFor(10ms);
    EXPECT_EQ(countSent(wire::Envelope::kClose), 1);
    EXPECT_FALSE(agent.isClosed());
    runFor(60ms);
    EXPECT_EQ(countSent(wire::Envelope::kClose), 2);
    wire::Envelope ended;
    ended.mutable_session_ended()->set_session(agent.session().value);
    receive(ended);
    EXPECT_TRUE(agent.isClosed());
}

TEST_F(RouterAgentTest, OtherInstanceGetsAnotherSession)
{
    start();
    const auto old = agent.session();
    auto changed = description();
    changed.set_instance("clue-9");
    agent.setDescription(changed);
    EXPECT_EQ(leasesLost, 1);
    EXPECT_EQ(lastSent(wire::Envelope::kClose)->close().session(), old.value);
    EXPECT_FALSE(admits(1));
}
