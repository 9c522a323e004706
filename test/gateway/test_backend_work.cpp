// Guards against a wrong measure of the work of a call: time in which the backend server waits for nested calls, moments in which its
// machine is slowed down, and calls of a former incarnation. The tests run in virtual time, without network.
#include "fakes.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

class BackendWorkTest : public testing::Test
{
protected:
    BackendWorkTest()
    {
        m_admission.setReferenceWork(&m_reference);
    }

    void learnReference(Duration work)
    {
        for (int i = 0; i < 50; ++i) {
            m_reference.record(callNamed("a", m_clock), work, m_clock.now());
        }
    }

    void submit(const std::string &id = "a")
    {
        m_admission.submit(callNamed(id, m_clock), [this](CallResult it) { m_result = std::move(it); });
    }

    void answer(int status = 200, double slowness = 0)
    {
        auto node = m_backend.m_running.extract(m_backend.m_running.begin());
        CallResult result;
        result.outcome = wire::ANSWERED;
        result.response.status = status;
        result.slownessPercent = slowness;
        node.mapped().second(std::move(result));
    }

    void run(milliseconds work, int status = 200, double slowness = 0)
    {
        submit();
        m_clock.advance(work);
        answer(status, slowness);
    }

    void runMany(milliseconds work)
    {
        for (int i = 0; i < 40; ++i) {
            run(work);
        }
    }

    ManualClock m_clock;
    NullLogger m_logger;
    FakeBackendStatus m_backendStatus;
    FakeBackend m_backend;
    UrgencyOrder m_order;
    ReferenceWork m_reference;
    BackendAdmission m_admission{ m_clock, m_logger, m_backendStatus, m_backend, m_order };
    CallResult m_result;
};

} // namespace

// Load pattern: requests that make nested calls to a service short of capacity, whose delay says nothing about this backend server.
TEST_F(BackendWorkTest, TimeWithANestedCallPendingDoesNotCount)
{
    submit();
    m_clock.advance(milliseconds(30));
    m_admission.onNestedCallStarted("a");
    m_clock.advance(milliseconds(200));
    m_admission.onNestedCallStarted("a"); // Overlaps the first one.
    m_clock.advance(milliseconds(100));
    m_admission.onNestedCallEnded("a");
    m_clock.advance(milliseconds(100));
    m_admission.onNestedCallEnded("a");
    m_clock.advance(milliseconds(20));
    answer();
    EXPECT_EQ(m_result.work, milliseconds(50));
}

TEST_F(BackendWorkTest, ANestedCallThatIsPendingAtTheEndDoesNotCount)
{
    submit();
    m_clock.advance(milliseconds(30));
    m_admission.onNestedCallStarted("a");
    m_clock.advance(milliseconds(200));
    answer();
    EXPECT_EQ(m_result.work, milliseconds(30));
    m_admission.onNestedCallEnded("a"); // Its request has ended.
}

// Load pattern: a machine that is slowed down for moments, as it reports, and otherwise as fast as the others.
TEST_F(BackendWorkTest, AMomentarySlowdownIsNotWork)
{
    for (int i = 0; i < 30; ++i) {
        run(milliseconds(100), 200, 100);
    }
    run(milliseconds(300), 200, 300); // Reports the slowdown first.
    run(milliseconds(300), 200, 300);
    EXPECT_LT(m_result.work, milliseconds(150));
}

TEST_F(BackendWorkTest, TheSpeedIsReportedOnceThereIsAReference)
{
    runMany(milliseconds(200));
    EXPECT_EQ(m_result.load.speed_permille(), 0U);
    learnReference(milliseconds(100));
    runMany(milliseconds(200));
    EXPECT_NEAR(m_result.load.speed_permille(), 500, 150);
}

// Failure: a request whose nested call was refused gets a response with status 500 early; its machine would count as fast.
TEST_F(BackendWorkTest, AFailedRequestTellsNothingAboutItsUsualWork)
{
    learnReference(milliseconds(100));
    for (int i = 0; i < 40; ++i) {
        run(milliseconds(5), 500);
    }
    EXPECT_EQ(m_result.work, Duration::zero());
    EXPECT_EQ(m_admission.speedPermille(), 0U);
}

TEST_F(BackendWorkTest, ANewIncarnationStartsAfresh)
{
    learnReference(milliseconds(100));
    runMany(milliseconds(300));
    ASSERT_LT(m_admission.speedPermille(), 600U);
    submit("former");
    m_clock.advance(milliseconds(300));
    m_admission.onIncarnationStarted();
    EXPECT_EQ(m_admission.speedPermille(), 0U);
    EXPECT_EQ(m_admission.longTermSpeedPermille(), 0U);
    answer(); // Of the former incarnation.
    EXPECT_EQ(m_result.work, Duration::zero());
}

// Failure: after the restart of a slow backend server, calls that it can serve in time were refused by the times of the former process.
TEST_F(BackendWorkTest, ANewIncarnationIsExpectedToTakeTheUsualTime)
{
    learnReference(milliseconds(100));
    runMany(milliseconds(600));
    m_admission.onIncarnationStarted();
    auto call = callNamed("tight", m_clock);
    call.deadline = m_clock.now() + milliseconds(200);
    m_admission.submit(call, [this](CallResult it) { m_result = std::move(it); });
    EXPECT_EQ(m_backend.m_sentRequests.back(), "tight");
}

// The work reaches the entry gateway, which learns the reference from it.
TEST_F(BackendWorkTest, TheWorkIsSentToOtherGateways)
{
    run(milliseconds(70));
    EXPECT_EQ(fromWire(toWire(m_result)).work, milliseconds(70));
}
