// Guards against more requests than slots and connections, lost or duplicate decisions, and requests for a leaving instance.
#include "admission/fixture.h"

#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using Toucandeck::Testing::AdmissionFixture;
using namespace std::chrono_literals;

TEST(AdmissionController, KeepsASlotForEachDeeperCall)
{
    AdmissionFixture it;
    EXPECT_EQ(it.startAll(0, false), 6U);
    EXPECT_EQ(it.startAll(1, true), 1U);
    EXPECT_EQ(it.startAll(2, true), 1U);
    EXPECT_EQ(it.startAll(3, true), 1U);
    EXPECT_EQ(it.controller.inFlight(), 9U);
}

TEST(AdmissionController, CallersAreNotStarvedByServices)
{
    AdmissionFixture it;
    EXPECT_EQ(it.startAll(3, true), 9U); // one more is queued
    ASSERT_TRUE(std::holds_alternative<Queued>(it.submit(0, false)));
    const auto caller = it.lastId;
    ASSERT_TRUE(std::holds_alternative<Queued>(it.submit(3, true)));
    unsigned finishes = 0;
    for (const auto id : it.running) {
        it.finish(id);
        ++finishes;
        const auto starts = it.controller.poll().starts;
        ASSERT_EQ(starts.size(), 1U);
        if (starts[0].id == caller) {
            break;
        }
    }
    EXPECT_LE(finishes, 2U);
}

TEST(AdmissionController, ClassesTakeTurnsUnderBacklog)
{
    AdmissionFixture it;
    it.startAll(3, true);
    for (int n = 0; n < 8; ++n) {
        it.submit(0, false);
        it.submit(1, true);
    }
    unsigned callers = 0;
    for (std::size_t n = 0; n < 8; ++n) {
        it.finish(it.running[n]);
        for (const auto &start : it.controller.poll().starts) {
            callers += start.id % 2 == 1 ? 1 : 0; // after the first ten, callers' requests have odd ids and services' even ones
        }
    }
    EXPECT_GE(callers, 3U);
    EXPECT_LE(callers, 5U);
}

// Failure: service-to-service requests of one depth starve while deeper ones keep coming, so the callers that wait for them fail.
TEST(AdmissionController, DepthsTakeTurnsUnderBacklog)
{
    AdmissionFixture fixture;
    fixture.startAll(1, true);
    std::vector<std::uint64_t> shallow;
    for (int i = 0; i < 4; ++i) {
        fixture.submit(1, true);
        shallow.push_back(fixture.lastId);
    }
    std::size_t shallowStarted = 0;
    std::size_t deepStarted = 0;
    for (int i = 0; i < 20 && !fixture.running.empty(); ++i) {
        fixture.submit(2, true); // There is always a deeper request in the queue.
        fixture.submit(2, true);
        fixture.finish(fixture.running.front());
        fixture.running.erase(fixture.running.begin());
        fixture.clock.advance(1ms);
        for (const auto &it : fixture.controller.poll().starts) {
            fixture.running.push_back(it.id);
            const bool isShallow = std::find(shallow.begin(), shallow.end(), it.id) != shallow.end();
            ++(isShallow ? shallowStarted : deepStarted);
        }
    }
    EXPECT_EQ(shallowStarted, shallow.size());
    EXPECT_GT(deepStarted, shallowStarted);
}

TEST(AdmissionController, StatusCheckNeverQueues)
{
    AdmissionFixture it;
    it.startAll(0, false);
    EXPECT_TRUE(std::holds_alternative<Start>(it.submit(1, true, 1s, true)));
    it.startAll(3, true);
    it.controller.poll();
    EXPECT_EQ(it.controller.inFlight(), 9U);
    const auto decision = it.submit(1, true, 1s, true);
    ASSERT_TRUE(std::holds_alternative<Refusal>(decision));
    EXPECT_EQ(std::get<Refusal>(decision).code, ErrorCode::Overloaded);
}

TEST(AdmissionController, OpensAtMostOneConnectionPerMillisecond)
{
    AdmissionFixture it;
    const auto deadline = it.clock.now() + 10s;
    EXPECT_TRUE(std::get<Start>(it.controller.submit({ 1, 0, deadline })).openConnection);
    EXPECT_TRUE(std::holds_alternative<Queued>(it.controller.submit({ 2, 0, deadline })));
    EXPECT_EQ(it.controller.nextWakeup(), it.clock.now() + 1ms);
    EXPECT_TRUE(it.controller.poll().starts.empty());
    it.clock.advance(1ms);
    ASSERT_EQ(it.controller.poll().starts.size(), 1U);
    it.finish(1);
    EXPECT_FALSE(std::get<Start>(it.controller.submit({ 3, 0, deadline })).openConnection);
}

TEST(AdmissionController, StaysBelowTheConnectionLimitWhenTheTableLowersIt)
{
    AdmissionFixture it(AdmissionOptions{ .limits = { 9, 4 } });
    EXPECT_EQ(it.startAll(0, false), 4U);
    it.finish(1);
    it.controller.setLimits({ 9, 2 });
    EXPECT_EQ(it.controller.surplusConnections(), 1U);
    EXPECT_TRUE(it.controller.poll().starts.empty());
    it.controller.onIdleConnectionClosed();
    it.finish(2, AnswerKind::Ok, 4ms, false);
    EXPECT_TRUE(it.controller.poll().starts.empty());
    it.finish(3);
    EXPECT_EQ(it.controller.poll().starts.size(), 1U);
    EXPECT_EQ(it.controller.openConnections(), 2U);
}

TEST(AdmissionController, RefusesWhatCannotMeetItsDeadline)
{
    AdmissionFixture it;
    it.startAll(0, false);
    it.finish(it.running[0], AnswerKind::Ok, 20ms);
    it.controller.poll();
    const auto late = it.submit(0, false, 10ms);
    ASSERT_TRUE(std::holds_alternative<Refusal>(late));
    EXPECT_EQ(std::get<Refusal>(late).code, ErrorCode::DeadlineExceeded);
    EXPECT_EQ(std::get<Refusal>(late).verdict, Verdict::NotRun);
    ASSERT_TRUE(std::holds_alternative<Queued>(it.submit(0, false, 50ms)));
    const auto waiting = it.lastId;
    ASSERT_TRUE(it.controller.nextWakeup());
    it.clock.advance(*it.controller.nextWakeup() - it.clock.now());
    const auto refusals = it.controller.poll().refusals;
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals[0].id, waiting);
}

TEST(AdmissionController, QueueIsBoundedAndRetryAfterVaries)
{
    AdmissionFixture it(AdmissionOptions{ .queuePerClass = 3 });
    it.startAll(0, false); // leaves one queued
    it.submit();
    it.submit();
    std::vector<Duration> advice;
    for (int n = 0; n < 4; ++n) {
        const auto decision = it.submit();
        ASSERT_TRUE(std::holds_alternative<Refusal>(decision));
        advice.push_back(std::get<Refusal>(decision).retryAfter);
        EXPECT_GE(advice.back(), 500ms);
        EXPECT_LE(advice.back(), 1500ms);
    }
    EXPECT_NE(advice[0], advice[1]);
    EXPECT_TRUE(std::holds_alternative<Start>(it.submit(1, true))); // the other class is not affected
}

TEST(AdmissionController, LeavingAdmitsNothingNewAndLetsTheRestFinish)
{
    AdmissionFixture it;
    it.startAll(0, false);
    it.controller.setState(ServingState::Leaving);
    const auto refusals = it.controller.poll().refusals;
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals[0].code, ErrorCode::Unavailable);
    EXPECT_TRUE(std::holds_alternative<Refusal>(it.submit()));
    for (const auto id : it.running) {
        it.finish(id);
    }
    EXPECT_TRUE(it.controller.isIdle());
}

TEST(AdmissionController, CancelledRequestHoldsItsSlotForTheGrace)
{
    AdmissionFixture it;
    it.startAll(0, false);
    EXPECT_FALSE(it.controller.cancel(it.running[0]));
    it.finish(it.running[0], AnswerKind::Cancelled, 1ms, false);
    EXPECT_TRUE(it.controller.poll().starts.empty());
    EXPECT_EQ(it.controller.inFlight(), 6U);
    it.clock.advance(10ms);
    EXPECT_EQ(it.controller.poll().starts.size(), 1U);
    it.submit();
    EXPECT_TRUE(it.controller.cancel(it.lastId));
}

TEST(AdmissionController, ColdNestedCallIsRefusedInsteadOfStallingItsCaller)
{
    AdmissionFixture it({}, true);
    it.controller.setCold(true);
    EXPECT_EQ(it.startAll(0, false), 1U);
    ASSERT_TRUE(std::holds_alternative<Queued>(it.submit(1, true)));
    it.clock.advance(50ms);
    const auto refusals = it.controller.poll().refusals;
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals[0].id, it.lastId);
}

TEST(AdmissionControllerDeath, ReleasingASlotTwiceAborts)
{
    AdmissionFixture it;
    it.submit();
    it.finish(it.lastId);
    EXPECT_DEATH(it.finish(it.lastId), "finishes once");
}

// Guards against strategies that delay or refuse requests below the limits: there all must start the same requests at the same time.
RC_GTEST_PROP(AdmissionDifferential, SameStartsAsNaiveBelowTheLimits, (const std::vector<std::uint8_t> &steps))
{
    ManualClock clock;
    SeededRandom random(1);
    NullLogger logger;
    AdmissionController ours({}, std::make_unique<GradientLimit>(), std::make_unique<ColdStartRamp>(clock), clock, random, logger);
    AdmissionController naive(
        { .reserveSlotsByDepth = false }, std::make_unique<FixedLimit>(), std::make_unique<NoRamp>(), clock, random, logger);
    std::vector<std::uint64_t> running;
    std::uint64_t id = 0;
    for (const auto step : steps) {
        clock.advance(1ms);
        if (running.size() >= 4 || (step % 2 == 0 && !running.empty())) {
            const auto done = running.front();
            running.erase(running.begin());
            ours.onRequestFinished(done, { AnswerKind::Ok, 4ms, true });
            naive.onRequestFinished(done, { AnswerKind::Ok, 4ms, true });
            continue;
        }
        const AdmissionRequest request{ ++id, step % 4U, clock.now() + 1s, step % 4U > 0, false };
        const auto mine = ours.submit(request);
        const auto theirs = naive.submit(request);
        RC_ASSERT(std::holds_alternative<Start>(mine));
        RC_ASSERT(std::holds_alternative<Start>(theirs));
        RC_ASSERT(std::get<Start>(mine).openConnection == std::get<Start>(theirs).openConnection);
        running.push_back(id);
    }
}
