// Guards against admissions without a valid lease or ownership, and against messages to controllers that are not retried.
#include "router_agent_fixture.h"

using namespace Toucandeck;

TEST_F(RouterAgentTest, AdmitsOnlyOnceTheLeaseIsGranted)
{
    EXPECT_FALSE(admits(1));
    registerAgent();
    EXPECT_FALSE(admits(1));
    answerRenewal();
    const auto admission = agent.admit("clue", KeyHash{ 5 });
    ASSERT_TRUE(admission);
    EXPECT_EQ(admission->partition, PartitionId{ 1 });
    EXPECT_EQ(admission->epoch.value, state.view().assignments("clue")[1].epoch());
    EXPECT_LT(admission->leaseEnd, clock.now() + kLeaseTtl);
    EXPECT_FALSE(admission->crashGrantTime);
    EXPECT_FALSE(agent.admit("judge", KeyHash{ 5 }));
}

TEST_F(RouterAgentTest, PauseEndsTheLeaseBeforeAnythingIsAdmitted)
{
    start();
    clock.advance(kLeaseTtl);
    EXPECT_FALSE(admits(1));
    EXPECT_EQ(leasesLost, 1);
    EXPECT_FALSE(agent.mayServeUnkeyed());
    EXPECT_FALSE(agent.leaseEnd());
    EXPECT_EQ(leasesLost, 1);
}

TEST_F(RouterAgentTest, AnswerThatWaitedThroughAPauseGivesNoLease)
{
    registerAgent();
    clock.advance(700ms);
    answerRenewal();
    EXPECT_FALSE(admits(1));
}

TEST_F(RouterAgentTest, RenewsEvery200MsAndAsksAllAfter60Ms)
{
    start();
    runFor(200ms);
    ASSERT_EQ(countSent(wire::Envelope::kRenew), 1);
    EXPECT_EQ(sentMessages.back().first, 1) << "the controller that answered last";
    runFor(50ms);
    EXPECT_EQ(countSent(wire::Envelope::kRenew), 1);
    runFor(10ms);
    ASSERT_EQ(countSent(wire::Envelope::kRenew), 2);
    EXPECT_EQ(sentMessages.back().first, -1);
    answerRenewal();
    runFor(130ms);
    EXPECT_EQ(countSent(wire::Envelope::kRenew), 2) << "the next round begins 200 ms after the last one";
    runFor(10ms);
    EXPECT_EQ(countSent(wire::Envelope::kRenew), 3);
}

TEST_F(RouterAgentTest, FollowsTheHintOfAFollower)
{
    start();
    runFor(220ms);
    wire::Envelope envelope;
    envelope.mutable_not_leader()->set_leader_address("2");
    receive(envelope);
    EXPECT_EQ(sentMessages.back().first, 2);
    EXPECT_TRUE(sentMessages.back().second.has_renew());
}

TEST_F(RouterAgentTest, RefusedRenewalFetchesTheViewAndTriesAgain)
{
    registerAgent();
    answerRenewal(false);
    EXPECT_FALSE(admits(1));
    ASSERT_TRUE(sentMessages.back().second.has_fetch_view());
    sentMessages.clear();
    wire::RouterSession another = description();
    another.set_session(5);
    another.set_instance("clue-3");
    addSession(another);
    sendDeltas();
    EXPECT_EQ(countSent(wire::Envelope::kRenew), 1);
}

TEST_F(RouterAgentTest, GapInTheDeltasIsFetchedUntilItIsFilled)
{
    start();
    grantAll(SessionId{ kOtherSession }); // Without effect, but creates a version.
    const auto gap = state.view().version();
    grantAll(SessionId{ kOtherSession });
    wire::Envelope envelope;
    *envelope.mutable_deltas() = *state.deltasSince(gap);
    receive(envelope);
    EXPECT_EQ(countSent(wire::Envelope::kFetchView), 1);
    runFor(60ms);
    EXPECT_EQ(countSent(wire::Envelope::kFetchView), 2);
    sendDeltas();
    runFor(120ms);
    EXPECT_EQ(countSent(wire::Envelope::kFetchView), 2);
    EXPECT_EQ(agent.view().version(), state.view().version());
}
