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

TEST(RecordedInstance, AnotherProcessAtTheAddressIsReady)
{
    EXPECT_EQ(recordedInstance(report("a@1", wire::DRAINING), report("a@2", wire::READY)).state(), wire::READY);
    EXPECT_EQ(recordedInstance(report("a@1", wire::READY), report("a@1", wire::READY)).state(), wire::READY);
    EXPECT_EQ(recordedInstance({}, report("a@1", wire::READY)).state(), wire::READY);
}
