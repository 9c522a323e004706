// Guards against keys that are reported as released while a grant without an answer may still bring them into force, and against keys that
// are granted after their release or beyond their lease.
#include "gateway/call_grants.h"

#include "gateway/fake_grant_port.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class CallGrantsTest : public testing::Test
{
protected:
    CallGrantsTest()
        : m_grants(m_clock, m_logger, m_port)
    {
        m_grants.setReleasedHandler([this](const HeldKeys &keys, const std::string &handover) {
            m_released.push_back(keys);
            m_handover = handover;
        });
    }

    static KeyRow row(std::uint32_t from, std::uint32_t to, std::uint64_t fencingToken)
    {
        return { { from, to }, "i@1", "10.0.0.1", fencingToken, {} };
    }

    void lease(const std::vector<KeyRow> &rows, milliseconds duration = milliseconds(3500))
    {
        m_grants.setRows(rows, m_clock.now() + duration);
    }

    void accept()
    {
        m_port.takeGrant().done(GrantOutcome::Accepted);
    }

    void advance(milliseconds time)
    {
        m_clock.advance(time);
        m_grants.tick();
    }

    ManualClock m_clock;
    RecordingLogger m_logger;
    FakeGrantPort m_port;
    CallGrants m_grants;
    std::vector<HeldKeys> m_released;
    std::string m_handover;
};

} // namespace

TEST_F(CallGrantsTest, HoldsKeysOnceTheGrantIsAccepted)
{
    lease({ row(0, 99, 7) });
    ASSERT_EQ(m_port.grants.size(), 1U);
    EXPECT_EQ(m_port.grants.front().call.fencingToken, 7U);
    EXPECT_FALSE(m_grants.holds(50));
    accept();
    EXPECT_TRUE(m_grants.holds(50));
    EXPECT_FALSE(m_grants.holds(100));
}

// The backend server's clock may run 2% slow, and counts the hold time from the arrival of the call.
TEST_F(CallGrantsTest, NoGrantOutlastsTheLease)
{
    lease({ row(0, 99, 7) });
    EXPECT_LT(m_port.grants.front().call.holdTime * 1.02, milliseconds(3500));
    accept();
    advance(milliseconds(3300));
    m_port.grants.clear();
    m_clock.advance(milliseconds(200));
    m_grants.tick();
    EXPECT_TRUE(m_port.grants.empty()); // Without contact to the controllers the lease runs out.
    EXPECT_FALSE(m_grants.holds(50));
}

TEST_F(CallGrantsTest, RenewsGrantsWellBeforeTheirEnd)
{
    lease({ row(0, 99, 7) });
    accept();
    int renewals = 0;
    for (int i = 0; i < 50; ++i) {
        m_clock.advance(milliseconds(200));
        lease({ row(0, 99, 7) });
        EXPECT_TRUE(m_grants.holds(50));
        if (!m_port.grants.empty()) {
            accept();
            ++renewals;
        }
    }
    EXPECT_GE(renewals, 8);
    EXPECT_LE(renewals, 12); // In ten seconds.
}

TEST_F(CallGrantsTest, RepeatsAGrantWithoutAnAnswerAtOnce)
{
    lease({ row(0, 99, 7) });
    m_port.takeGrant().done(GrantOutcome::Unanswered);
    ASSERT_EQ(m_port.grants.size(), 1U);
    accept();
    EXPECT_TRUE(m_grants.holds(50));
    EXPECT_EQ(m_grants.counters().unanswered, 1U);
}

TEST_F(CallGrantsTest, ReleasesWhatIsNotInTheLeaseAndGoesOnRenewingTheRest)
{
    lease({ row(0, 99, 7) });
    accept();
    lease({ row(0, 49, 7) });
    ASSERT_EQ(m_port.releases.size(), 1U);
    EXPECT_EQ(m_port.releases.front().call.range, (KeyRange{ 50, 99 }));
    EXPECT_FALSE(m_grants.holds(70));
    EXPECT_TRUE(m_grants.holds(20)); // By the earlier grant.
    accept(); // Of the remaining keys, while the release still waits for running work.
    advance(milliseconds(1000));
    EXPECT_FALSE(m_port.grants.empty());
    EXPECT_TRUE(m_released.empty());
    m_port.takeRelease().done(GrantOutcome::Accepted, "token");
    ASSERT_EQ(m_released.size(), 1U);
    EXPECT_EQ(m_released[0].range, (KeyRange{ 50, 99 }));
    EXPECT_EQ(m_released[0].fencingToken, 7U);
    EXPECT_EQ(m_handover, "token");
}

// The grant could be applied after the release, and the keys would be held here and at their next holder.
TEST_F(CallGrantsTest, ReportsAReleaseOnlyWhenNoUnansweredGrantCanBeInForce)
{
    lease({ row(0, 99, 7) });
    accept();
    advance(milliseconds(1000));
    ASSERT_EQ(m_port.grants.size(), 1U);
    const auto sentAt = m_clock.now();
    const auto holdTime = m_port.grants.front().call.holdTime;
    m_port.takeGrant().done(GrantOutcome::Unanswered);
    m_port.takeGrant().done(GrantOutcome::NotSent); // Its repetition.
    lease({}, milliseconds(2500));
    ASSERT_FALSE(m_port.releases.empty());
    m_port.takeRelease().done(GrantOutcome::Accepted, "token");
    EXPECT_TRUE(m_released.empty());
    while (m_clock.now() < sentAt + std::chrono::duration_cast<Duration>(holdTime * 1.02)) {
        EXPECT_TRUE(m_released.empty());
        advance(milliseconds(50));
    }
    advance(milliseconds(500));
    ASSERT_EQ(m_released.size(), 1U);
    EXPECT_EQ(m_handover, "token");
}

TEST_F(CallGrantsTest, SendsNoReleaseWhileAGrantOfTheKeysIsUnderWay)
{
    lease({ row(0, 99, 7) });
    lease({});
    EXPECT_TRUE(m_port.releases.empty());
    accept();
    EXPECT_EQ(m_port.releases.size(), 1U);
}

TEST_F(CallGrantsTest, AReleaseWithoutAnAnswerIsRepeatedAndReportedWhenTheGrantHasEnded)
{
    lease({ row(0, 99, 7) });
    accept();
    lease({});
    for (int i = 0; i < 15; ++i) {
        EXPECT_TRUE(m_released.empty());
        advance(milliseconds(200));
    }
    EXPECT_GE(m_port.releases.size(), 4U);
    advance(milliseconds(1000));
    ASSERT_EQ(m_released.size(), 1U);
    EXPECT_EQ(m_handover, "");
    m_port.takeRelease().done(GrantOutcome::Accepted, "late"); // Changes nothing any more.
    EXPECT_EQ(m_released.size(), 1U);
}

TEST_F(CallGrantsTest, KeysThatAreBeingReleasedAreNotGrantedAgainUnderTheSameToken)
{
    lease({ row(0, 99, 7) });
    accept();
    lease({});
    lease({ row(0, 99, 7) }); // From a new leader that does not know of the release.
    advance(milliseconds(1000));
    EXPECT_TRUE(m_port.grants.empty());
    EXPECT_FALSE(m_grants.holds(50));
    lease({ row(0, 99, 8) });
    EXPECT_EQ(m_port.grants.size(), 1U);
}

TEST_F(CallGrantsTest, ARefusedRowIsNotGrantedAgainButReported)
{
    lease({ row(0, 99, 7) });
    m_port.takeGrant().done(GrantOutcome::HigherTokenSeen);
    advance(milliseconds(1000));
    EXPECT_TRUE(m_port.grants.empty());
    ASSERT_FALSE(m_port.releases.empty());
    m_port.takeRelease().done(GrantOutcome::Accepted, "");
    ASSERT_EQ(m_released.size(), 1U);
    lease({ row(0, 99, 8) }); // The controllers assign the keys again.
    EXPECT_EQ(m_port.grants.size(), 1U);
}

// An earlier process of the gateway may have sent grants whose answers it did not get.
TEST_F(CallGrantsTest, AfterARestartOfTheGatewayReleasesWaitForTheGrantsOfItsEarlierProcess)
{
    m_grants.setEarlierGrantsEnd(m_clock.now() + seconds(3));
    lease({ row(0, 99, 7) });
    accept();
    lease({});
    m_port.takeRelease().done(GrantOutcome::Accepted, "token");
    advance(milliseconds(2900));
    EXPECT_TRUE(m_released.empty());
    advance(milliseconds(200));
    EXPECT_EQ(m_released.size(), 1U);
}

TEST_F(CallGrantsTest, AnotherProcessAtTheAddressHoldsNothing)
{
    lease({ row(0, 99, 7) });
    const auto pending = m_port.takeGrant();
    m_grants.clear();
    pending.done(GrantOutcome::Accepted);
    EXPECT_FALSE(m_grants.holds(50));
    advance(milliseconds(100));
    EXPECT_TRUE(m_port.releases.empty());
}

TEST_F(CallGrantsTest, KeysHeldByHeartbeatAnswersAreReleasedByCall)
{
    m_grants.recordHeld({ row(0, 99, 7) }, m_clock.now() + seconds(2));
    lease({ row(0, 49, 7) });
    EXPECT_TRUE(m_grants.holds(20));
    ASSERT_EQ(m_port.releases.size(), 1U);
    EXPECT_EQ(m_port.releases.front().call.range, (KeyRange{ 50, 99 }));
}

// A new leader that did not know of the release granted the row again. When the release was complete, the row was granted once more, while
// the release was on its way to the controllers (prove_grants, seed 1).
TEST_F(CallGrantsTest, KeysThatWereReleasedAreNotGrantedAgainWithTheRowsOfAnEarlierLease)
{
    lease({ row(0, 99, 7) });
    accept();
    lease({});
    lease({ row(0, 99, 7) });
    m_port.takeRelease().done(GrantOutcome::Accepted, "token");
    ASSERT_EQ(m_released.size(), 1U);
    advance(milliseconds(200));
    EXPECT_TRUE(m_port.grants.empty());
    EXPECT_FALSE(m_grants.holds(50));
}
