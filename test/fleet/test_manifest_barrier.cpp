// Guards against the confirmation of a manifest that a gateway with a congested link does not apply yet.
#include "fleet/manifest_barrier.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

class ManifestBarrierTest : public testing::Test
{
protected:
    ManifestBarrierTest()
        : m_barrier(m_clock, milliseconds(800))
    {
        m_barrier.setCondition([this](std::uint64_t version) { return m_appliedVersion >= version; });
    }

    void await(std::uint64_t version)
    {
        m_barrier.await(version, [this, version] { m_confirmed.push_back(version); });
    }

    ManualClock m_clock;
    ManifestBarrier m_barrier;
    std::uint64_t m_appliedVersion = 0;
    std::vector<std::uint64_t> m_confirmed;
};

using Versions = std::vector<std::uint64_t>;

} // namespace

TEST_F(ManifestBarrierTest, ConfirmsAtOnceWhatAllGatewaysApply)
{
    m_appliedVersion = 4;
    await(4);
    EXPECT_EQ(m_confirmed, Versions({ 4 }));
}

TEST_F(ManifestBarrierTest, WaitsForTheSlowestGateway)
{
    m_appliedVersion = 2;
    await(4);
    m_clock.advance(milliseconds(500));
    m_barrier.process();
    EXPECT_TRUE(m_confirmed.empty());
    m_appliedVersion = 4;
    m_barrier.process();
    EXPECT_EQ(m_confirmed, Versions({ 4 }));
}

TEST_F(ManifestBarrierTest, ALaterVersionConfirmsTheEarlierOrders)
{
    await(4);
    await(7);
    m_appliedVersion = 5;
    m_barrier.process();
    EXPECT_EQ(m_confirmed, Versions({ 4 }));
    m_appliedVersion = 9;
    m_barrier.process();
    EXPECT_EQ(m_confirmed, Versions({ 4, 7 }));
}

// Guards against an order that is never confirmed because one gateway does not report its version.
TEST_F(ManifestBarrierTest, ConfirmsAfterTheLongestDelayInAnyCase)
{
    await(4);
    m_clock.advance(milliseconds(799));
    m_barrier.process();
    EXPECT_TRUE(m_confirmed.empty());
    m_clock.advance(milliseconds(1));
    m_barrier.process();
    EXPECT_EQ(m_confirmed, Versions({ 4 }));
    EXPECT_EQ(m_barrier.waitingCount(), 0U);
}

TEST_F(ManifestBarrierTest, ACallbackMayAwaitAnotherVersion)
{
    m_barrier.await(4, [this] { await(5); });
    m_appliedVersion = 5;
    m_barrier.process();
    EXPECT_EQ(m_confirmed, Versions({ 5 }));
}

TEST(ManifestBarrier, ConfirmsAtOnceWithoutADelay)
{
    const ManualClock clock;
    ManifestBarrier barrier(clock, Duration::zero());
    barrier.setCondition([](std::uint64_t) { return false; });
    bool confirmed = false;
    barrier.await(4, [&confirmed] { confirmed = true; });
    EXPECT_TRUE(confirmed);
}
