// Guards against departures that overload the remaining instances, and against reporting an instance or failure domain as safe to
// switch off while it still owns partitions, has requests in flight or is needed for the quorum.
#include "state/leave_plan.h"
#include "state/leave_status.h"
#include "test/state/command_builders.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::testing;
using ::testing::Contains;
using ::testing::ElementsAre;
using ::testing::HasSubstr;

namespace
{

const WallTime now{ std::chrono::milliseconds(1'796'382'000'000) };

class Leave : public ::testing::Test
{
protected:
    void SetUp() override
    {
        harness.edit("a", { rowEdit("clue-svc/*/*", { "key=segment:1", "partitions=8", "slots=10" }) });
        harness.apply(registerCommand(11, "clue-svc", "jm-a", "one"));
        harness.apply(registerCommand(12, "clue-svc", "jm-b", "one"));
        harness.apply(registerCommand(13, "clue-svc", "jm-c", "one"));
    }

    LeavePlan::Service plan(const wire::RowEdit &edit) const
    {
        const std::vector<wire::RowEdit> edits{ edit };
        return handleError([&] { return LeavePlan::compute(harness.view(), edits, loads); },
                           [](const Error &error) -> LeavePlan { throw std::runtime_error(error.message); })
            .services()
            .at(0);
    }

    LeaveStatus::Instance instance(std::size_t n = 0) const
    {
        return LeaveStatus::compute(harness.view(), inFlight, controllers, now).instances().at(n);
    }

    LeaveStatus::FailureDomain domain(const std::string &name) const
    {
        const auto status = LeaveStatus::compute(harness.view(), inFlight, controllers, now);
        const auto &all = status.failureDomains();
        return *std::find_if(all.begin(), all.end(), [&name](const auto &domain) { return domain.name == name; });
    }

    void placeControllers(const std::vector<std::string> &domains)
    {
        controllers.clear();
        for (const auto &name : domains) {
            const auto n = controllers.size() + 1;
            controllers.push_back({ ReplicaId{ n }, name, "10.0.0." + std::to_string(n), true, true });
        }
    }

    void setDomainOut(const std::string &domain)
    {
        harness.edit("out-" + domain, { rowEdit("*/" + domain + "/*", { "state=out" }) });
    }

    StateHarness harness;
    LoadReports loads{ { SessionId{ 11 }, 600 }, { SessionId{ 12 }, 600 }, { SessionId{ 13 }, 600 } };
    InFlightReports inFlight{ { SessionId{ 11 }, 0 }, { SessionId{ 12 }, 0 }, { SessionId{ 13 }, 0 } };
    std::vector<ControllerMember> controllers{ { ReplicaId{ 1 }, "jm-x", "10.0.0.1", true, true } };
};

} // namespace

TEST_F(Leave, PlanFitsAsLongAsTheRestCarriesTheLoad)
{
    const auto feasible = plan(rowEdit("*/jm-a/*", { "state=leaving" }));
    EXPECT_TRUE(feasible.fits);
    EXPECT_EQ(feasible.load, 18'000);
    EXPECT_EQ(feasible.instancesBefore, 3);
    EXPECT_EQ(feasible.instancesAfter, 2);
    EXPECT_EQ(feasible.capacityAfter, 18'180);
    loads[SessionId{ 12 }] = 700;
    const auto refused = plan(rowEdit("*/jm-a/*", { "state=leaving" }));
    EXPECT_FALSE(refused.fits);
    EXPECT_EQ(refused.reason,
              "clue-svc: the present load is 19.000 slots, but the 2 remaining instances can carry 18.180 by their weights");
}

TEST_F(Leave, PlanCountsLeaveTimesWeightsAndInstancesWithoutBackendServer)
{
    EXPECT_EQ(plan(rowEdit("*/jm-a/*", { "leave_time=2030-01-01T00:00:00Z" })).instancesAfter, 2);
    EXPECT_EQ(plan(rowEdit("clue-svc/jm-a/*", { "weight=0" })).instancesAfter, 2);
    // With weights 300, 100 and 100 the first instance is full at 5/3 of its slots.
    EXPECT_EQ(plan(rowEdit("clue-svc/jm-a/*", { "weight=300" })).capacityAfter, 15'150);
    auto command = registerCommand(13, "clue-svc", "jm-c", "one");
    command.mutable_register_session()->mutable_session()->set_backend_ready(false);
    harness.apply(command);
    EXPECT_EQ(plan(rowEdit("*/jm-a/*", { "state=out" })).instancesBefore, 2);
}

TEST_F(Leave, PlanRefusesTheLastInstanceAndUnknownLoad)
{
    loads.erase(SessionId{ 11 });
    EXPECT_EQ(plan(rowEdit("*/jm-a/*", { "state=out" })).reason, "clue-svc: the load of jm-a/one is unknown");
    loads.clear();
    EXPECT_EQ(plan(rowEdit("clue-svc/*/*", { "state=out" })).reason, "clue-svc: no serving instance would remain");
    harness.apply(expireCommand(12));
    harness.apply(expireCommand(13));
    loads[SessionId{ 11 }] = 0;
    EXPECT_FALSE(plan(rowEdit("clue-svc/jm-a/one", { "state=leaving" })).fits);
    EXPECT_TRUE(plan(rowEdit("clue-svc/jm-a/one", { "connections=5" })).fits);
}

TEST_F(Leave, InstanceIsSafeOnlyWithoutPartitionsRequestsAndUnknownFigures)
{
    harness.apply(grantCommand("clue-svc", 3, 11, 0));
    harness.apply(grantCommand("clue-svc", 5, 12, 0));
    harness.apply(moveCommand("clue-svc", 5, 11, harness.view().ownerOf("clue-svc", PartitionId{ 5 })->epoch.value));
    harness.edit("b", { rowEdit("clue-svc/jm-a/one", { "state=leaving" }) });
    inFlight[SessionId{ 11 }] = 4;
    EXPECT_FALSE(instance().safe);
    EXPECT_THAT(instance().reasons, ElementsAre("2 partitions left", "4 requests in flight"));
    harness.apply(releaseCommand("clue-svc", 5, 12));
    for (const auto partition : { 3, 5 }) {
        harness.apply(moveCommand("clue-svc",
                                  partition,
                                  13,
                                  harness.view().ownerOf("clue-svc", PartitionId{ static_cast<std::uint32_t>(partition) })->epoch.value));
        harness.apply(releaseCommand("clue-svc", partition, 11));
    }
    inFlight.erase(SessionId{ 11 });
    EXPECT_THAT(instance().reasons, ElementsAre("the number of requests in flight is unknown"));
    inFlight[SessionId{ 11 }] = 0;
    EXPECT_TRUE(instance().safe);
    controllers.clear();
    EXPECT_THAT(instance().reasons, ElementsAre("the membership of the controllers is unknown"));
}

TEST_F(Leave, HotKeysKeepAnInstanceFromBeingSafe)
{
    harness.apply(grantCommand("clue-svc", 3, 12, 0));
    const auto epoch = harness.view().ownerOf("clue-svc", PartitionId{ 3 })->epoch.value;
    harness.apply(hotKeyCommand("clue-svc", 3, 12, 11, epoch));
    harness.edit("b", { rowEdit("clue-svc/jm-a/one", { "state=out" }) });
    EXPECT_THAT(instance().reasons, ElementsAre("1 hot keys left"));
}

TEST_F(Leave, LeaveTimeCountsOnceItHasPassed)
{
    harness.edit("b", { rowEdit("clue-svc/jm-a/one", { "leave_time=2030-01-01T00:00:00Z" }) });
    EXPECT_TRUE(LeaveStatus::compute(harness.view(), inFlight, controllers, now).instances().empty());
    harness.edit("c", { rowEdit("clue-svc/jm-a/one", { "leave_time=2026-01-01T00:00:00Z" }, 5) });
    EXPECT_TRUE(instance().safe);
    harness.apply(expireCommand(11));
    EXPECT_TRUE(instance().safe);
    EXPECT_FALSE(instance().session);
}

TEST_F(Leave, FailureDomainIsSafeOnlyWhenNothingServesThere)
{
    EXPECT_THAT(domain("jm-a").reasons, ElementsAre("1 instances are serving"));
    harness.edit("b", { rowEdit("clue-svc/jm-a/one", { "state=out" }) });
    EXPECT_THAT(domain("jm-a").reasons, ElementsAre(HasSubstr("new instances would serve")));
    setDomainOut("jm-a");
    EXPECT_TRUE(domain("jm-a").safe);
    inFlight.erase(SessionId{ 11 });
    EXPECT_EQ(domain("jm-a").inFlight, std::nullopt);
    EXPECT_FALSE(domain("jm-a").safe);
}

TEST_F(Leave, ShrinkOfFiveControllersToThreeAndToOne)
{
    setDomainOut("jm-a");
    placeControllers({ "jm-a", "jm-a", "jm-b", "jm-b", "jm-c" });
    EXPECT_TRUE(domain("jm-a").safe);
    controllers[4].reachable = std::nullopt;
    EXPECT_THAT(domain("jm-a").reasons, ElementsAre(HasSubstr("2 of 5 would remain reachable, the quorum is 3")));
    // Three members remain after the two of jm-a are removed.
    placeControllers({ "jm-b", "jm-b", "jm-c" });
    EXPECT_TRUE(domain("jm-a").safe);
    setDomainOut("jm-b");
    EXPECT_THAT(domain("jm-b").reasons, ElementsAre(HasSubstr("1 of 3 would remain reachable, the quorum is 2")));
    setDomainOut("jm-c");
    EXPECT_FALSE(domain("jm-c").safe);
    // One member remains.
    placeControllers({ "jm-c" });
    EXPECT_TRUE(domain("jm-b").safe);
    EXPECT_THAT(domain("jm-c").reasons, ElementsAre(HasSubstr("0 of 1 would remain reachable, the quorum is 1")));
}

TEST_F(Leave, FailureDomainsThatLeaveTogetherAreJudgedTogether)
{
    placeControllers({ "jm-a", "jm-b", "jm-c" });
    setDomainOut("jm-a");
    EXPECT_TRUE(domain("jm-a").safe);
    setDomainOut("jm-b");
    EXPECT_FALSE(domain("jm-a").safe);
    EXPECT_FALSE(domain("jm-b").safe);
}

TEST_F(Leave, RemainingControllersMustSpanTwoFailureDomainsAndLearnersDoNotCount)
{
    setDomainOut("jm-a");
    placeControllers({ "jm-a", "jm-b", "jm-b" });
    EXPECT_THAT(domain("jm-a").reasons, ElementsAre(HasSubstr("all in one failure domain")));
    placeControllers({ "jm-a", "jm-b", "jm-c" });
    controllers[1].voter = false;
    EXPECT_FALSE(domain("jm-a").safe);
}

TEST_F(Leave, ControllerOnTheSameVmKeepsAnInstanceFromBeingSafe)
{
    harness.edit("b", { rowEdit("clue-svc/jm-a/one", { "state=out" }) });
    controllers = { { ReplicaId{ 1 }, "jm-x", "127.0.0.1", true, true } };
    EXPECT_THAT(instance().reasons, Contains(HasSubstr("its controllers are needed")));
    // If the VM is unknown, every controller of the failure domain may run on it.
    controllers = { { ReplicaId{ 1 }, "jm-a", "", true, true } };
    EXPECT_FALSE(instance().safe);
    controllers = { { ReplicaId{ 1 }, "jm-x", "10.0.0.9", true, true } };
    EXPECT_TRUE(instance().safe);
}
