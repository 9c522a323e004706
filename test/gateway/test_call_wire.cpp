// Guards against fields of calls and replies that are lost between gateways.
#include "gateway/call.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST(CallWire, KeepsTheLongestWait)
{
    const TimePoint now(std::chrono::hours(1));
    Call call;
    call.deadline = now + milliseconds(500);
    call.targetTime = now;
    EXPECT_EQ(fromWire(toWire(call, now), now).maxWait, Duration::zero());
    call.maxWait = milliseconds(42);
    EXPECT_EQ(fromWire(toWire(call, now), now).maxWait, milliseconds(42));
    call.maxWait = microseconds(300);
    EXPECT_EQ(fromWire(toWire(call, now), now).maxWait, milliseconds(1)) << "a short limit must not become none";
}

TEST(CallWire, KeepsTheTimeAtTheGatewayAndThePassedOnReports)
{
    CallResult result;
    result.elapsed = microseconds(1234);
    PeerReport peer{ "10.0.0.7", {}, milliseconds(250) };
    peer.load.set_running(9);
    result.peers.push_back(peer);
    const auto copy = fromWire(toWire(result));
    EXPECT_EQ(copy.elapsed, microseconds(1234));
    ASSERT_EQ(copy.peers.size(), 1U);
    EXPECT_EQ(copy.peers[0].gateway, "10.0.0.7");
    EXPECT_EQ(copy.peers[0].load.running(), 9U);
    EXPECT_EQ(copy.peers[0].age, milliseconds(250));
}

TEST(CallWire, AReplyOfAnOlderGatewayHasNoneOfThem)
{
    const auto result = fromWire(wire::CallReply());
    EXPECT_EQ(result.elapsed, Duration::zero());
    EXPECT_TRUE(result.peers.empty());
}
