// Guards against a backend server that is taken for slow because of the requests it gets, and against one that is not used again after a
// slow period. All tests run in virtual time.
#include "gateway/reference_work.h"
#include "gateway/server_speed.h"

#include "common/random_source.h"
#include "fakes.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <vector>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr seconds kTimeConstant{ 4 };
constexpr milliseconds kUsualWork{ 100 };

/// Load pattern: one service whose backend servers differ in speed by a factor of three. A gateway sees the replies of all of them; the
/// one beside it answers the calls of several gateways.
class SpeedTest : public testing::Test
{
protected:
    Call callOfKind(std::uint32_t rank) const
    {
        return callNamed("a", m_clock, rank);
    }

    /// Work with a long tail, up to 4.5 times the mean.
    Duration variedWork(Duration mean, double speed)
    {
        const double factor = 0.2 + 0.6 * m_random.unit() + (m_random.unit() < 0.2 ? 2.5 * m_random.unit() + 1.25 : 0);
        return std::chrono::duration_cast<Duration>(mean * factor / speed);
    }

    /// The replies that a gateway sees of all backend servers.
    void learnReference(std::uint32_t rank, Duration mean, int replies)
    {
        for (int i = 0; i < replies; ++i) {
            m_reference.record(callOfKind(rank), variedWork(mean, kSpeeds.at(static_cast<std::size_t>(i) % kSpeeds.size())), m_clock.now());
            m_clock.advance(milliseconds(50));
        }
    }

    void answer(std::uint32_t rank, Duration mean, double speed, int calls, Duration interval = milliseconds(40))
    {
        for (int i = 0; i < calls; ++i) {
            m_clock.advance(interval);
            if (const auto usual = m_reference.usual(callOfKind(rank))) {
                m_speed.record(variedWork(mean, speed), *usual, m_clock.now());
            }
        }
    }

    double speed() const
    {
        return m_speed.relative(m_clock.now());
    }

    static constexpr std::array<double, 4> kSpeeds{ 2, 2.0 / 3, 2, 2.0 / 3 }; ///< Their mean work is that of a speed of 1.

    ManualClock m_clock;
    SeededRandom m_random{ 7 };
    ReferenceWork m_reference;
    ServerSpeed m_speed{ kTimeConstant };
};

} // namespace

TEST_F(SpeedTest, FindsTheSpeedWithinAFewDozenCalls)
{
    learnReference(0, kUsualWork, 400);
    answer(0, kUsualWork, 0.5, 60);
    EXPECT_NEAR(speed(), 0.5, 0.15);
    m_speed.reset();
    answer(0, kUsualWork, 1.6, 60);
    EXPECT_NEAR(speed(), 1.6, 0.4);
}

// Failure: a backend server that gets mostly the slow kind of request has a long mean service time and was taken for a slow machine.
TEST_F(SpeedTest, ASlowKindOfRequestIsNotTakenForASlowMachine)
{
    learnReference(0, kUsualWork, 400);
    learnReference(1, kUsualWork * 8, 400);
    answer(0, kUsualWork, 1, 100);
    answer(1, kUsualWork * 8, 1, 200);
    EXPECT_NEAR(speed(), 1, 0.2);
}

// Failure: kinds without a reference, such as nested calls that this gateway never sends, would be compared with other kinds.
// Load pattern: all gateways start together, and each learns the reference from its own few calls while it measures its backend server.
// Servers that differ by a factor of three must be told apart within 20 s, although half of them get mostly the slow kind of request.
TEST_F(SpeedTest, SlowAndFastBackendServersAreToldApartSoonAfterAStart)
{
    constexpr std::size_t kServers = 12;
    const auto trueSpeed = [](std::size_t server) { return server % 2 == 0 ? 2 : 2.0 / 3; };
    const auto work
        = [&](std::size_t server, std::uint32_t rank) { return variedWork(kUsualWork * (rank == 0 ? 1 : 5), trueSpeed(server)); };
    std::vector<ReferenceWork> references(kServers);
    std::vector<ServerSpeed> speeds(kServers, ServerSpeed(kTimeConstant));
    for (int i = 0; i < 200; ++i) { // 20 s in steps of 100 ms.
        m_clock.advance(milliseconds(100));
        for (std::size_t gateway = 0; gateway < kServers; ++gateway) {
            const auto replyRank = static_cast<std::uint32_t>(i % 2);
            const auto from = static_cast<std::size_t>(m_random.below(kServers));
            references[gateway].record(callOfKind(replyRank), work(from, replyRank), m_clock.now());
            for (int call = 0; call < 2; ++call) {
                const bool getsSlowKind = m_random.unit() < (gateway % 4 < 2 ? 0.8 : 0.2);
                const auto rank = getsSlowKind ? 1U : 0U;
                if (const auto usual = references[gateway].usual(callOfKind(rank))) {
                    speeds[gateway].record(work(gateway, rank), *usual, m_clock.now());
                }
            }
        }
    }
    double slowest = 4;
    double fastest = 0;
    for (std::size_t gateway = 0; gateway < kServers; ++gateway) {
        const double ratio = speeds[gateway].relative(m_clock.now()) / trueSpeed(gateway);
        slowest = std::min(slowest, ratio);
        fastest = std::max(fastest, ratio);
    }
    EXPECT_GT(slowest, 1 / std::sqrt(3));
    EXPECT_LT(fastest, std::sqrt(3));
}

TEST_F(SpeedTest, AKindWithoutAReferenceIsNotCompared)
{
    learnReference(0, kUsualWork, 400);
    answer(1, kUsualWork * 8, 1, 100);
    EXPECT_EQ(speed(), 0);
    EXPECT_FALSE(m_reference.usual(callOfKind(1)));
}

TEST_F(SpeedTest, ARecoveredBackendServerRegainsItsSpeedWithinSeconds)
{
    learnReference(0, kUsualWork, 400);
    answer(0, kUsualWork, 0.33, 300);
    ASSERT_LT(speed(), 0.45);
    answer(0, kUsualWork, 1, 200); // 8 s
    EXPECT_GT(speed(), 0.75);
}

// Failure: a slow backend server gets no calls, so nothing shows that it has recovered.
TEST_F(SpeedTest, ABackendServerWithoutCallsIsNotSlowForever)
{
    learnReference(0, kUsualWork, 400);
    answer(0, kUsualWork, 0.33, 300);
    m_clock.advance(seconds(20));
    EXPECT_GT(speed(), 0.8);
}

TEST_F(SpeedTest, FewCallsGiveNoExtremeSpeed)
{
    learnReference(0, kUsualWork, 400);
    const auto usual = *m_reference.usual(callOfKind(0));
    for (int i = 0; i < 4; ++i) {
        m_speed.record(usual / 100, usual, m_clock.now());
    }
    EXPECT_EQ(speed(), 0);
    m_speed.record(usual / 100, usual, m_clock.now());
    EXPECT_LT(speed(), 2);
    m_speed.reset();
    for (int i = 0; i < 5; ++i) {
        m_speed.record(usual * 3, usual, m_clock.now());
    }
    EXPECT_GT(speed(), 0.5);
}

TEST_F(SpeedTest, OneStuckCallIsNotASlowMachine)
{
    learnReference(0, kUsualWork, 400);
    answer(0, kUsualWork, 1, 100);
    m_speed.record(seconds(60), kUsualWork, m_clock.now());
    EXPECT_GT(speed(), 0.75);
}

TEST_F(SpeedTest, StaysWithinItsBounds)
{
    for (int i = 0; i < 1000; ++i) {
        m_speed.record(kUsualWork * 12, kUsualWork, m_clock.now());
    }
    EXPECT_EQ(m_speed.permille(m_clock.now()), 250U);
    m_speed.reset();
    for (int i = 0; i < 1000; ++i) {
        m_speed.record(kUsualWork / 50, kUsualWork, m_clock.now());
    }
    EXPECT_EQ(m_speed.permille(m_clock.now()), 4000U);
}

TEST_F(SpeedTest, ThereIsNoReferenceFromAFewReplies)
{
    learnReference(0, kUsualWork, 10);
    EXPECT_FALSE(m_reference.usual(callOfKind(0)));
    learnReference(0, kUsualWork, 30);
    EXPECT_TRUE(m_reference.usual(callOfKind(0)));
}

// Failure: the reference of a kind that is rarely called would be that of its last few replies.
TEST_F(SpeedTest, TheReferenceOfARareKindIsNotThatOfItsLastReplies)
{
    learnReference(0, kUsualWork, 400);
    for (int i = 0; i < 3; ++i) {
        m_clock.advance(seconds(30));
        m_reference.record(callOfKind(0), kUsualWork * 4, m_clock.now());
    }
    EXPECT_LT(*m_reference.usual(callOfKind(0)), kUsualWork * 3 / 2);
}
