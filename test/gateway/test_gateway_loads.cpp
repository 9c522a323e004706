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

namespace
{

constexpr const char *kOther = "10.0.0.2";
constexpr const char *kService = "svc";

wire::LoadReport reportOf(std::uint32_t running, std::uint32_t slots = 10)
{
    wire::LoadReport load;
    load.set_running(running);
    load.set_slots(slots);
    load.set_work_us(100'000);
    return load;
}

CallResult answerWith(const wire::LoadReport &load)
{
    CallResult result;
    result.outcome = wire::ANSWERED;
    result.load = load;
    return result;
}

class PeerReportTest : public testing::Test
{
protected:
    void answer(const std::string &ip, const wire::LoadReport &load)
    {
        m_loads.setService(ip, kService);
        m_loads.onCallSent(ip);
        m_loads.onCallAnswered(ip, answerWith(load));
    }

    std::vector<PeerReport> recentReports(const std::string &receiver = "10.0.0.99")
    {
        return m_loads.recentReports(kService, receiver, 3, m_random);
    }

    ManualClock m_clock;
    SeededRandom m_random{ 1 };
    GatewayLoads m_loads{ m_clock };
};

} // namespace

TEST_F(PeerReportTest, TheNewerReportIsKept)
{
    answer(kOther, reportOf(5));
    m_clock.advance(milliseconds(100));
    m_loads.onPeerReport(kService, { kOther, reportOf(7), milliseconds(200) });
    EXPECT_EQ(m_loads.at(kOther).report.running(), 5U);
    m_loads.onPeerReport(kService, { kOther, reportOf(8), milliseconds(50) });
    EXPECT_EQ(m_loads.at(kOther).report.running(), 8U);
    EXPECT_EQ(m_loads.age(m_loads.at(kOther)), milliseconds(50));
}

// Failure: a report from before a call was sent made the entry forget that call.
TEST_F(PeerReportTest, CallsSentAfterThePassedOnReportStillCount)
{
    m_loads.onCallSent(kOther);
    m_clock.advance(milliseconds(100));
    m_loads.onCallSent(kOther);
    m_loads.onPeerReport(kService, { kOther, reportOf(3), milliseconds(50) });
    EXPECT_EQ(m_loads.at(kOther).sentSinceReport, 1U);
}

TEST_F(PeerReportTest, AnOldReportOrOneWithoutSlotsIsIgnored)
{
    m_loads.onPeerReport(kService, { kOther, reportOf(3), milliseconds(1001) });
    m_loads.onPeerReport(kService, { kOther, reportOf(3, 0), {} });
    EXPECT_EQ(m_loads.age(m_loads.at(kOther)), Duration::max());
}

TEST_F(PeerReportTest, PassesOnRecentReportsButNotTheReceiversOwn)
{
    answer(kGateway, reportOf(5));
    answer(kOther, reportOf(6));
    ASSERT_EQ(recentReports(kOther).size(), 1U);
    EXPECT_EQ(recentReports(kOther).front().gateway, kGateway);
    m_clock.advance(milliseconds(1001));
    EXPECT_TRUE(recentReports().empty());
}

// Load pattern: the links of VMs are narrow, and each reply carries reports.
TEST_F(PeerReportTest, PassedOnReportsTakeAtMostSixtyBytesOfAReply)
{
    for (int i = 100; i < 120; ++i) {
        auto load = reportOf(18, 18);
        load.set_waiting(200);
        load.set_work_us(900'000);
        load.set_failed_permille(500);
        load.set_slowness_permille(3000);
        load.set_wait_us(1'000'000);
        answer("10.111.122." + std::to_string(i), load);
    }
    m_clock.advance(milliseconds(900));
    CallResult result;
    result.peers = recentReports();
    EXPECT_FALSE(result.peers.empty());
    EXPECT_LE(toWire(result).ByteSizeLong() - toWire(CallResult()).ByteSizeLong(), 60U);
}

TEST_F(PeerReportTest, EntriesOfRemovedGatewaysAreForgottenUnlessACallIsPending)
{
    answer(kGateway, reportOf(5));
    m_loads.onCallSent(kOther);
    m_loads.forgetIf([](const std::string &) { return true; });
    EXPECT_EQ(m_loads.at(kGateway).report.running(), 0U);
    EXPECT_EQ(m_loads.at(kOther).inFlight, 1U);
}

// Failure: a backend server whose last report was high was avoided for ever.
TEST_F(PeerReportTest, TheUsualUtilisationTendsToTheMeanOfTheService)
{
    for (int i = 0; i < 50; ++i) {
        answer(kGateway, reportOf(5));
    }
    answer(kOther, reportOf(30));
    const auto &service = m_loads.serviceLoad(kService);
    EXPECT_NEAR(m_loads.usualUtilisation(m_loads.at(kOther), service), 3, 0.01);
    m_clock.advance(std::chrono::seconds(20));
    EXPECT_NEAR(m_loads.usualUtilisation(m_loads.at(kOther), service), service.utilisation, 0.01);
    EXPECT_NEAR(service.utilisation, 0.55, 0.02);
}

TEST_F(PeerReportTest, TheFirstReportsSetTheMeanOfTheService)
{
    answer(kGateway, reportOf(8));
    EXPECT_DOUBLE_EQ(m_loads.serviceLoad(kService).utilisation, 0.8);
    EXPECT_EQ(m_loads.serviceLoad(kService).serviceTime, milliseconds(100));
}

TEST_F(PeerReportTest, AWrongReportIsBounded)
{
    auto load = reportOf(4'000'000'000U, 1);
    load.set_waiting(4'000'000'000U);
    answer(kGateway, load);
    EXPECT_LE(m_loads.serviceLoad(kService).utilisation, 8);
}

// Failure: a gateway without a backend server refuses at once, looks idle, and attracts all calls until it is no longer listed.
TEST_F(PeerReportTest, AGatewayWithoutABackendServerIsRecognised)
{
    answer(kGateway, reportOf(0, 0));
    EXPECT_TRUE(m_loads.hasNoBackend(m_loads.at(kGateway)));
    EXPECT_EQ(m_loads.serviceLoad(kService).reports, 0U);
    m_clock.advance(milliseconds(1001));
    EXPECT_FALSE(m_loads.hasNoBackend(m_loads.at(kGateway)));
    EXPECT_FALSE(m_loads.hasNoBackend(m_loads.at(kOther)));
}

TEST_F(PeerReportTest, TheTransitTimeIsForgottenWithoutCalls)
{
    m_loads.recordTransit(kGateway, milliseconds(100));
    EXPECT_EQ(m_loads.longestTransitTime(), milliseconds(100));
    m_loads.recordTransit(kGateway, milliseconds(200));
    EXPECT_EQ(m_loads.longestTransitTime(), milliseconds(130));
    m_clock.advance(std::chrono::seconds(5));
    EXPECT_LT(m_loads.longestTransitTime(), milliseconds(1));
    m_loads.recordTransit(kGateway, -milliseconds(1));
    EXPECT_GE(m_loads.longestTransitTime(), Duration::zero());
}
