// Guards against a backend server that has left and is used again after a restart of its gateway.
#include "fleet/recorded_instance.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

wire::InstanceReport report(const std::string &incarnation, wire::InstanceState state)
{
    wire::InstanceReport it;
    it.set_incarnation(incarnation);
    it.set_state(state);
    return it;
}

} // namespace

TEST(RecordedInstance, AProcessThatLeavesIsNotReadyAgain)
{
    const auto draining = report("a@1", wire::DRAINING);
    EXPECT_EQ(recordedInstance(draining, report("a@1", wire::READY)).state(), wire::DRAINING);
    EXPECT_EQ(recordedInstance(draining, report("a@1", wire::ABSENT)).state(), wire::ABSENT);
}

// A restarted gateway announces itself before it hears of its backend server, which forgot that the process leaves (review/5, DRAIN).
TEST(RecordedInstance, AProcessThatLeavesIsNotReadyAgainAfterItsGatewayAnnouncedNone)
{
    const auto absent = recordedInstance(report("a@1", wire::DRAINING), report("", wire::ABSENT));
    EXPECT_EQ(absent.state(), wire::ABSENT);
    EXPECT_EQ(absent.leaving(), "a@1");
    const auto again = recordedInstance(absent, report("", wire::ABSENT));
    EXPECT_EQ(recordedInstance(again, report("a@1", wire::READY)).state(), wire::DRAINING);
}

// The number of presumed terminations counts anew after a restart of the gateway.
TEST(RecordedInstance, AProcessThatLeavesIsNotReadyAgainUnderAnotherNumberOfPresumedTerminations)
{
    EXPECT_EQ(recordedInstance(report("a@1#1", wire::DRAINING), report("a@1", wire::READY)).state(), wire::DRAINING);
    EXPECT_EQ(recordedInstance(report("a@1", wire::DRAINING), report("a@1#1", wire::READY)).state(), wire::DRAINING);
}

TEST(RecordedInstance, TheGatewayKnowsTheLatestProcessThatLeaves)
{
    auto announced = report("a@3", wire::READY);
    announced.set_leaving("a@2");
    EXPECT_EQ(recordedInstance(report("a@1", wire::DRAINING), announced).leaving(), "a@2");
    EXPECT_EQ(recordedInstance(report("a@1", wire::DRAINING), report("a@3", wire::DRAINING)).leaving(), "a@3");
}

TEST(RecordedInstance, AnotherProcessAtTheAddressIsReady)
{
    EXPECT_EQ(recordedInstance(report("a@1", wire::DRAINING), report("a@2", wire::READY)).state(), wire::READY);
    EXPECT_EQ(recordedInstance(report("a@1", wire::READY), report("a@1", wire::READY)).state(), wire::READY);
    EXPECT_EQ(recordedInstance({}, report("a@1", wire::READY)).state(), wire::READY);
}
