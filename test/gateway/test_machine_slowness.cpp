// Guards against decisions that mistake a temporary slowdown of a shared machine for its usual speed, or the other way round.
#include "gateway/machine_slowness.h"

#include "fakes.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

TEST(MachineSlowness, ComparesTheLatestReportWithTheUsual)
{
    MachineSlowness it;
    TimePoint now{};
    EXPECT_EQ(it.relative(now), 1);
    // For a fifth of the time service times are three times as long.
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(100);
        it.report(i % 5 == 0 ? 150 : 50, now);
    }
    now += milliseconds(100);
    it.report(150, now);
    EXPECT_NEAR(it.relative(now), 150.0 / 70, 0.2);
    it.report(50, now);
    EXPECT_NEAR(it.relative(now), 50.0 / 70, 0.1);
}

TEST(MachineSlowness, ForgetsAnOldReport)
{
    MachineSlowness it;
    TimePoint now{};
    it.report(50, now);
    now += milliseconds(100);
    it.report(150, now);
    EXPECT_GT(it.relative(now), 2);
    EXPECT_EQ(it.relative(now + milliseconds(500)), 1);
}

TEST(MachineSlowness, IgnoresWhatIsNoReport)
{
    MachineSlowness it;
    it.report(0, TimePoint{});
    EXPECT_EQ(it.relative(TimePoint{}), 1);
}

// Pattern: temporary slowdown of the machine. A call that could meet its deadline at the usual speed cannot meet it now.
TEST(BackendAdmissionSlowness, RefusesAtOnceWhatCannotMeetItsDeadlineInASlowMoment)
{
    ManualClock clock;
    NullLogger logger;
    FakeBackendStatus backendStatus;
    FakeBackend backend;
    UrgencyOrder order;
    BackendAdmission gate(clock, logger, backendStatus, backend, order);
    const auto run = [&](double percent) {
        std::optional<CallResult> result;
        gate.submit(callNamed("a", clock), [&result](CallResult it) { result = std::move(it); });
        clock.advance(milliseconds(100));
        if (!backend.m_running.empty()) {
            auto node = backend.m_running.extract(backend.m_running.begin());
            CallResult answer;
            answer.outcome = wire::ANSWERED;
            answer.slownessPercent = percent;
            node.mapped().second(answer);
        }
        return result;
    };
    for (int i = 0; i < 40; ++i) {
        run(100);
    }
    const auto tight = [&clock] {
        auto call = callNamed("tight", clock);
        call.deadline = clock.now() + milliseconds(160);
        return call;
    };
    gate.submit(tight(), [](const CallResult &) {});
    EXPECT_EQ(backend.m_running.size(), 1U);
    backend.m_running.clear();
    run(300);
    std::optional<CallResult> result;
    gate.submit(tight(), [&result](CallResult it) { result = std::move(it); });
    ASSERT_TRUE(result);
    EXPECT_EQ(result->reason, wire::OVERLOADED);
}
