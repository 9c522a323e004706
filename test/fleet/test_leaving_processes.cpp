// Guards against a backend server that has left and is used again, and against a successor that is taken for it.
#include "fleet/leaving_processes.h"

#include "fleet/recorded_instance.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

LeavingProcesses processes(const std::vector<std::string> &incarnations)
{
    LeavingProcesses all;
    for (const auto &it : incarnations) {
        all.add(it);
    }
    return all;
}

} // namespace

TEST(LeavingProcesses, CoverEarlierProcessesWithTheSameId)
{
    const auto leaving = processes({ "a@5" });
    EXPECT_TRUE(leaving.covers("a@5"));
    EXPECT_TRUE(leaving.covers("a@5#1"));
    EXPECT_TRUE(leaving.covers("a@4#2"));
    EXPECT_FALSE(leaving.covers("a@6"));
    EXPECT_FALSE(leaving.covers("b@4"));
    EXPECT_FALSE(LeavingProcesses().covers("a@1"));
}

TEST(LeavingProcesses, KeepOneNameForEachId)
{
    auto leaving = processes({ "a@5", "b@3", "a@7", "a@6" });
    EXPECT_EQ(leaving.names(), (std::vector<std::string>{ "b@3", "a@7" }));
    EXPECT_EQ(leaving.latest(), "a@7");
    EXPECT_FALSE(leaving.add(""));
    EXPECT_FALSE(leaving.add("a@7#1"));
}

TEST(LeavingProcesses, ForgetTheProcessesThatStartedFirst)
{
    LeavingProcesses leaving;
    for (int i = 100; i < 5000; ++i) {
        leaving.add("i" + std::to_string(i) + "@" + std::to_string(i));
    }
    EXPECT_EQ(leaving.names().size(), LeavingProcesses::kMaxIds);
    EXPECT_TRUE(leaving.covers("i4999@4999"));
    EXPECT_FALSE(leaving.covers("i100@100"));
    leaving.add("old@1"); // Its notice waits for the record.
    EXPECT_TRUE(leaving.covers("old@1"));
    EXPECT_EQ(leaving.names().size(), LeavingProcesses::kMaxIds);
}

TEST(LeavingProcesses, TheRecordKeepsAllThatAGatewayAnnounced)
{
    wire::InstanceReport announced;
    announced.set_state(wire::READY);
    announced.set_incarnation("new@9");
    processes({ "old@8", "older@7" }).addTo(announced);
    auto recorded = recordedInstance({}, announced);
    EXPECT_EQ(recorded.state(), wire::READY);
    wire::InstanceReport restarted;
    restarted.set_state(wire::ABSENT);
    recorded = recordedInstance(recorded, restarted);
    for (const std::string late : { "old@8", "older@6" }) {
        restarted.set_state(wire::READY);
        restarted.set_incarnation(late);
        EXPECT_EQ(recordedInstance(recorded, restarted).state(), wire::DRAINING) << late;
    }
}
