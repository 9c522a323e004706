// Guards against limits that never fall, never rise again, or refuse requests whose nested calls are served.
#include "gateway/nested_call_gate.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t kSlots = 9;

class NestedCallGateTest : public testing::Test
{
protected:
    int enter(int n)
    {
        int entered = 0;
        for (int i = 0; i < n; ++i) {
            entered += m_gate.tryEnter("submit") ? 1 : 0;
        }
        return entered;
    }

    void leave(int n)
    {
        for (int i = 0; i < n; ++i) {
            m_gate.leave("submit", milliseconds(120));
        }
    }

    ManualClock m_clock;
    NestedCallGate m_gate{ m_clock };
};

} // namespace

TEST_F(NestedCallGateTest, LimitsNothingBeforeACallIsRefused)
{
    EXPECT_EQ(enter(100), 100);
    m_gate.onCallServed("submit", kSlots);
    EXPECT_FALSE(m_gate.limit("submit"));
    EXPECT_FALSE(m_gate.onCallRefused("unknown", kSlots));
}

TEST_F(NestedCallGateTest, FallsOnceInAnIntervalAndNeverBelowOne)
{
    enter(30);
    EXPECT_TRUE(m_gate.onCallRefused("submit", kSlots));
    const auto first = m_gate.limit("submit").value();
    EXPECT_LT(first, kSlots);
    EXPECT_FALSE(m_gate.onCallRefused("submit", kSlots));
    EXPECT_EQ(m_gate.limit("submit"), first);
    for (int i = 0; i < 100; ++i) {
        m_clock.advance(milliseconds(300));
        m_gate.onCallRefused("submit", kSlots);
    }
    EXPECT_EQ(m_gate.limit("submit"), 1.0);
    leave(30);
    EXPECT_EQ(enter(5), 1);
    EXPECT_EQ(m_gate.refusedRequests(), 4U);
}

// Failure: the nested service has recovered, and requests are still refused.
TEST_F(NestedCallGateTest, IsLiftedWithinTwoSecondsOnceCallsAreServed)
{
    enter(1);
    m_gate.onCallRefused("submit", kSlots);
    EXPECT_EQ(m_gate.limit("submit"), 1.0);
    for (int i = 0; i < 20; ++i) {
        m_clock.advance(milliseconds(100));
        m_gate.onCallServed("submit", kSlots);
    }
    EXPECT_FALSE(m_gate.limit("submit"));
    EXPECT_FALSE(m_gate.lowestLimit());
}

TEST_F(NestedCallGateTest, TellsWhenARefusedRequestIsExpectedToEnter)
{
    enter(4);
    leave(2);
    m_gate.onCallRefused("submit", kSlots);
    EXPECT_GE(m_gate.retryAfter("submit"), milliseconds(120));
    EXPECT_EQ(m_gate.retryAfter("other"), Duration::zero());
}

TEST_F(NestedCallGateTest, LimitsOnlyTheKindWhoseCallsAreRefused)
{
    enter(1);
    m_gate.onCallRefused("submit", kSlots);
    EXPECT_EQ(enter(1), 0);
    EXPECT_TRUE(m_gate.tryEnter("other"));
}
