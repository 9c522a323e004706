// Guards against released keys that the controllers never learn of, and against the release of keys that are held again.
#include "gateway/pending_releases.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

KeyRow row(std::uint32_t from, std::uint32_t to, std::uint64_t fencingToken)
{
    KeyRow it;
    it.range = { from, to };
    it.fencingToken = fencingToken;
    return it;
}

Heartbeat heartbeat(KeyRange released, std::vector<HeldKeys> holds = {})
{
    Heartbeat it;
    it.released.push_back({ released, "token" });
    it.holds = std::move(holds);
    return it;
}

class PendingReleasesTest : public testing::Test
{
protected:
    wire::Announce announce(std::uint64_t sequence)
    {
        wire::Announce it;
        it.set_sequence(sequence);
        releases.addTo(it, TimePoint());
        return it;
    }

    NullLogger logger;
    PendingReleases releases{ logger };
};

} // namespace

TEST_F(PendingReleasesTest, KeysAreAnnouncedUntilTheFirstSuchAnnouncementIsAcknowledged)
{
    releases.record("i-1", heartbeat({ 10, 19 }), { { { 0, 99 }, 7 } }, {});
    const auto keys = announce(3).freed();
    ASSERT_EQ(keys.size(), 1);
    EXPECT_EQ(keys[0].incarnation(), "i-1");
    EXPECT_EQ(keys[0].from(), 10U);
    EXPECT_EQ(keys[0].to(), 19U);
    EXPECT_EQ(keys[0].fence(), 7U);
    EXPECT_EQ(keys[0].handover(), "token");
    releases.onAnnouncementAcknowledged(2);
    EXPECT_EQ(announce(4).freed_size(), 1);
    releases.onAnnouncementAcknowledged(3);
    EXPECT_EQ(announce(5).freed_size(), 0);
}

TEST_F(PendingReleasesTest, KeysThatWereNotAnnouncedStayPending)
{
    releases.record("i-1", heartbeat({ 10, 19 }), {}, {});
    releases.onAnnouncementAcknowledged(9);
    EXPECT_EQ(announce(10).freed_size(), 1);
    releases.clear();
    EXPECT_EQ(announce(11).freed_size(), 0);
}

TEST_F(PendingReleasesTest, FencingTokenOfKeysThatWereNeverReportedIsThatOfTheAnswer)
{
    releases.record("i-1", heartbeat({ 10, 19 }), { { { 50, 59 }, 7 } }, { row(0, 49, 8) });
    EXPECT_EQ(announce(1).freed(0).fence(), 8U);
}

TEST_F(PendingReleasesTest, KeysThatAreHeldAgainAreNotReleased)
{
    releases.record("i-1", heartbeat({ 10, 19 }, { { { 14, 15 }, 7 }, { { 18, 19 }, 8 } }), { { { 0, 99 }, 7 } }, {});
    const auto keys = announce(1).freed();
    ASSERT_EQ(keys.size(), 2);
    EXPECT_EQ(keys[0].to(), 13U);
    EXPECT_EQ(keys[1].from(), 16U);
    EXPECT_EQ(keys[1].to(), 19U);
}

TEST_F(PendingReleasesTest, OnlyRowsWithTheSameFencingTokenLoseTheKeys)
{
    releases.record("i-1", heartbeat({ 10, 19 }), { { { 0, 99 }, 7 } }, {});
    const auto rows = releases.removeFrom({ row(0, 99, 7), row(12, 13, 8) });
    ASSERT_EQ(rows.size(), 3U);
    EXPECT_EQ(rows[0], row(0, 9, 7));
    EXPECT_EQ(rows[1], row(20, 99, 7));
    EXPECT_EQ(rows[2], row(12, 13, 8));
}
