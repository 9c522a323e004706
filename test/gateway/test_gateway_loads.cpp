// Guards against gateways that are avoided for longer than their failures justify.
#include "gateway/gateway_loads.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

constexpr const char *kGateway = "10.0.0.1";
constexpr int kCalls = 5;

CallResult lostWithItsConnection()
{
    auto result = notRun(wire::LINK_LOST);
    result.outcome = wire::MAY_HAVE_RUN;
    return result;
}

class GatewayLoadsTest : public testing::Test
{
protected:
    GatewayLoadsTest()
    {
        for (int i = 0; i < kCalls; ++i) {
            m_loads.onCallSent(kGateway);
        }
    }

    ManualClock m_clock;
    GatewayLoads m_loads{ m_clock };
};

} // namespace

// Failure: a connection with many calls that was silent once counted as many failures, and its gateway was avoided for 2.4 s.
TEST_F(GatewayLoadsTest, ASilentConnectionWithManyCallsIsOneFailure)
{
    for (int i = 0; i < kCalls; ++i) {
        m_loads.onSilence(kGateway);
    }
    EXPECT_TRUE(m_loads.isSuspect(kGateway));
    m_clock.advance(milliseconds(301));
    EXPECT_FALSE(m_loads.isSuspect(kGateway));
}

TEST_F(GatewayLoadsTest, ALostConnectionWithManyCallsIsOneFailure)
{
    for (int i = 0; i < kCalls; ++i) {
        m_loads.onCallAnswered(kGateway, lostWithItsConnection());
    }
    EXPECT_EQ(m_loads.at(kGateway).failures, 1);
    m_clock.advance(milliseconds(301));
    EXPECT_FALSE(m_loads.isSuspect(kGateway));
}

TEST_F(GatewayLoadsTest, AFailureAfterTheTimeOfTheFirstDoublesIt)
{
    m_loads.onSilence(kGateway);
    m_clock.advance(milliseconds(301));
    m_loads.onSilence(kGateway);
    m_clock.advance(milliseconds(599));
    EXPECT_TRUE(m_loads.isSuspect(kGateway));
    m_clock.advance(milliseconds(2));
    EXPECT_FALSE(m_loads.isSuspect(kGateway));
}
