// Guards against a ramp that overloads a cold backend server, and limits that ignore overload or never recover from it.
#include "admission/fixture.h"

using namespace Toucandeck;
using Toucandeck::Testing::AdmissionFixture;
using namespace std::chrono_literals;

namespace
{

constexpr Outcome kOk{ AnswerKind::Ok, 4ms, true };
constexpr Outcome kShed{ AnswerKind::Shed, 1ms, true };

/// Records one answer per 10 ms; returns the highest limit reached.
unsigned feed(ColdStartRamp &ramp, ManualClock &clock, int answers, const Outcome &outcome = kOk)
{
    unsigned highest = 0;
    for (int n = 0; n < answers; ++n) {
        clock.advance(10ms);
        ramp.record(clock.now(), outcome);
        highest = std::max(highest, ramp.limit());
    }
    return highest;
}

template<class Limit>
std::pair<unsigned, unsigned> afterOverloadAndRecovery()
{
    Limit limit;
    limit.setMaximum(20);
    for (int n = 0; n < 200; ++n) {
        limit.record({ AnswerKind::Ok, 4ms, limit.limit() });
    }
    for (int n = 0; n < 30; ++n) {
        limit.record({ AnswerKind::Shed, 1ms, limit.limit() });
    }
    const auto low = limit.limit();
    for (int n = 0; n < 500; ++n) {
        limit.record({ AnswerKind::Ok, 4ms, limit.limit() });
    }
    return { low, limit.limit() };
}

} // namespace

TEST(ColdStartRamp, DoublesAfterEachWindowOfSuccesses)
{
    ManualClock clock;
    ColdStartRamp ramp(clock);
    ramp.setMaximum(9);
    EXPECT_EQ(ramp.limit(), 9U);
    ramp.restart();
    EXPECT_EQ(ramp.limit(), 1U);
    EXPECT_EQ(feed(ramp, clock, 59), 1U); // 590 ms
    EXPECT_EQ(feed(ramp, clock, 1), 2U);
    EXPECT_EQ(feed(ramp, clock, 60), 4U);
    EXPECT_EQ(feed(ramp, clock, 60), 8U);
    EXPECT_EQ(feed(ramp, clock, 60), 9U);
}

TEST(ColdStartRamp, FewSuccessesDoNotEndAWindow)
{
    ManualClock clock;
    ColdStartRamp ramp(clock);
    ramp.setMaximum(9);
    ramp.restart();
    for (int n = 0; n < 3; ++n) {
        clock.advance(10s);
        ramp.record(clock.now(), kOk);
    }
    EXPECT_EQ(ramp.limit(), 1U);
}

TEST(ColdStartRamp, ShedAnswerRestartsItOnce)
{
    ManualClock clock;
    ColdStartRamp ramp(clock);
    ramp.setMaximum(9);
    const auto sent = clock.now();
    clock.advance(5ms);
    EXPECT_TRUE(ramp.record(sent, kShed));
    EXPECT_EQ(ramp.limit(), 1U);
    EXPECT_EQ(feed(ramp, clock, 70), 2U);
    EXPECT_FALSE(ramp.record(sent, kShed)); // sent before the restart
    EXPECT_EQ(ramp.limit(), 2U);
}

TEST(ColdStartRamp, LatencyJumpRestartsItButAStragglerDoesNot)
{
    ManualClock clock;
    ColdStartRamp ramp(clock);
    ramp.setMaximum(9);
    feed(ramp, clock, 100);
    feed(ramp, clock, 20, { AnswerKind::Ok, 20ms, true });
    EXPECT_EQ(ramp.limit(), 9U);
    feed(ramp, clock, 5, { AnswerKind::Ok, 80ms, true });
    EXPECT_EQ(ramp.limit(), 1U);
}

TEST(AdmissionController, ColdServerGetsOneRequestAndMoreAsItWarmsUp)
{
    AdmissionFixture it({}, true);
    it.controller.setCold(true);
    it.controller.setCold(true); // repeated with each announcement
    EXPECT_EQ(it.startAll(0, false), 1U);
    EXPECT_EQ(it.logger.count(Events::kColdStartAnnounced), 1);
    it.finish(1, AnswerKind::Shed);
    EXPECT_EQ(it.logger.count(Events::kColdStartDetected), 1);
    EXPECT_EQ(it.controller.currentLimit(), 1U);
}

TEST(ConcurrencyLimit, AimdShrinksOnShedAndRecovers)
{
    const auto [low, high] = afterOverloadAndRecovery<AimdLimit>();
    EXPECT_EQ(low, 4U);
    EXPECT_EQ(high, 20U);
}

TEST(ConcurrencyLimit, GradientShrinksOnShedAndRecovers)
{
    const auto [low, high] = afterOverloadAndRecovery<GradientLimit>();
    EXPECT_EQ(low, 4U);
    EXPECT_EQ(high, 20U);
}

TEST(ConcurrencyLimit, GradientShrinksOnLatencyAlone)
{
    GradientLimit limit;
    limit.setMaximum(20);
    for (int n = 0; n < 200; ++n) {
        limit.record({ AnswerKind::Ok, 4ms, 20 });
    }
    EXPECT_EQ(limit.limit(), 20U);
    for (int n = 0; n < 60; ++n) {
        limit.record({ AnswerKind::Ok, 40ms, 20 });
    }
    EXPECT_LT(limit.limit(), 12U);
}

TEST(ConcurrencyLimit, FollowsTheTable)
{
    AdmissionFixture it;
    it.controller.setLimits({ 4, 110 });
    EXPECT_EQ(it.controller.currentLimit(), 4U);
    it.controller.setLimits({ 12, 110 });
    EXPECT_EQ(it.controller.currentLimit(), 12U);
    it.controller.setLimits({ 0, 110 });
    EXPECT_TRUE(std::holds_alternative<Refusal>(it.submit()));
}
