// Guards against edits that are lost or applied twice on the way to the leader, and against output that hides a failure.
#include "cli/cli_run.h"
#include "cli/fake_transport.h"
#include "cli/operator_client.h"
#include "cli/output.h"
#include "cli/text_table.h"

#include <cstdio>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace Toucandeck;
using namespace Toucandeck::testing;
using ::testing::ElementsAre;
using ::testing::HasSubstr;

namespace
{

class CliRun : public ::testing::Test
{
protected:
    CliResult run()
    {
        return runCli(line, transport, transport.clock, random);
    }

    void set()
    {
        line.action = CliAction::TableSet;
        line.row = "clue-svc/*/*";
        line.assignments = { "weight=5", "slots=" };
        line.revision = 7;
    }

    /// The name contains that of the test, because tests run at the same time.
    std::string writeFile(const std::string &content)
    {
        const auto *test = ::testing::UnitTest::GetInstance()->current_test_info();
        auto path = ::testing::TempDir() + "toucandeck_" + test->name() + std::to_string(++files);
        std::ofstream(path) << content;
        return path;
    }

    int files = 0;
    FakeTransport transport;
    SeededRandom random{ 1 };
    CommandLine line = [] {
        CommandLine it;
        it.controllers = { "one", "two" };
        it.timeout = std::chrono::seconds(10);
        return it;
    }();
};

const OperatorAnswer notLeader{ 421, R"({"error":"not_leader","message":"this controller does not lead","leader":"three"})" };
const OperatorAnswer accepted{ 200, R"({"revision":12})" };

} // namespace

TEST_F(CliRun, EditFollowsTheLeaderAndIsResentUnderOneRequestId)
{
    set();
    transport.answers = { notLeader, std::nullopt, accepted };
    const auto result = run();
    EXPECT_EQ(result.exitCode, ExitCode::Success);
    EXPECT_EQ(result.output, "accepted, revision 12\n");
    EXPECT_THAT(transport.contactedControllers, ElementsAre("one", "three", "two"));
    const auto first = nlohmann::json::parse(transport.requests[0].body);
    EXPECT_EQ(first["edits"][0]["set"], (nlohmann::json{ { "weight", "5" }, { "slots", "" } }));
    EXPECT_EQ(first["edits"][0]["seen_revision"], 7);
    EXPECT_FALSE(first["request_id"].get<std::string>().empty());
    EXPECT_EQ(transport.requests[2].body, transport.requests[0].body);
}

TEST_F(CliRun, ControllersThatNameEachOtherDoNotHoldTheToolUp)
{
    for (int i = 0; i < 1000; ++i) {
        transport.answers.push_back(notLeader);
    }
    const auto result = run();
    EXPECT_EQ(result.exitCode, ExitCode::Unavailable);
    EXPECT_LT(transport.contactedControllers.size(), 110); // 10 s, two requests per pause of 200 ms
}

TEST_F(CliRun, LostEditNamesItsRequestId)
{
    set();
    line.requestId = "r1";
    const auto result = run();
    EXPECT_EQ(result.exitCode, ExitCode::Unavailable);
    EXPECT_THAT(result.errors, HasSubstr("repeat it with --request-id r1"));
    EXPECT_TRUE(result.output.empty());
}

TEST_F(CliRun, MembershipChangeIsNotRepeatedAfterALostAnswer)
{
    line.action = CliAction::ControllersRemove;
    line.replica = "1f";
    transport.answers = { std::nullopt, OperatorAnswer{ 200, "{}" } };
    const auto result = run();
    EXPECT_EQ(result.exitCode, ExitCode::Unavailable);
    EXPECT_EQ(transport.contactedControllers.size(), 1);
    EXPECT_THAT(result.errors, HasSubstr("look before you repeat it"));
    transport.failureVerdict = Verdict::NotRun;
    transport.answers = { std::nullopt, OperatorAnswer{ 200, "{}" } };
    EXPECT_EQ(run().output, "accepted\n");
    EXPECT_EQ(transport.requests.back().path, "/v1/controllers/remove?replica=1f");
}

TEST_F(CliRun, ErrorsOfTheControllerDecideTheExitCode)
{
    const std::pair<OperatorAnswer, ExitCode> cases[] = {
        { { 409, R"({"error":"conflict","message":"m"})" }, ExitCode::Conflict },
        { { 409, R"({"error":"refused","message":"m"})" }, ExitCode::Refused },
        { { 400, R"({"error":"invalid_argument","message":"m"})" }, ExitCode::Usage },
        { { 401, R"({"error":"unauthorized","message":"m"})" }, ExitCode::Unauthorized },
        { { 404, R"({"error":"not_found","message":"m"})" }, ExitCode::NotFound },
        { { 200, "no json" }, ExitCode::Unavailable },
        { { 200, R"({"controllers":1})" }, ExitCode::Unavailable },
    };
    for (const auto &[answer, code] : cases) {
        transport.answers = { answer };
        EXPECT_EQ(run().exitCode, code) << answer.body;
    }
}

TEST_F(CliRun, MistakesNeedNoController)
{
    set();
    line.assignments = { "weight=5000" };
    EXPECT_EQ(run().exitCode, ExitCode::Usage);
    line.action = CliAction::TableImport;
    line.file = "/does/not/exist";
    EXPECT_THAT(run().errors, HasSubstr("cannot be read"));
    line.file = writeFile("service\nx\n");
    EXPECT_THAT(run().errors, HasSubstr("line 1"));
    line.tokenFile = writeFile("two\nlines");
    EXPECT_THAT(run().errors, HasSubstr("must hold one line"));
    EXPECT_TRUE(transport.contactedControllers.empty());
}

TEST_F(CliRun, ImportSendsTheFileWithTokenAndRequestId)
{
    const std::string csv = "service,failure_domain,instance,weight,revision\nclue-svc,*,*,5,0\n";
    line.action = CliAction::TableImport;
    line.file = writeFile(csv);
    line.requestId = "a b";
    line.force = true;
    transport.answers = { accepted };
    EXPECT_EQ(run().exitCode, ExitCode::Success);
    EXPECT_EQ(transport.requests[0].body, csv);
    EXPECT_EQ(transport.requests[0].path, "/v1/table/import?request_id=a%20b&force=true");
    line.action = CliAction::TableExport;
    line.tokenFile = writeFile("secret\n");
    transport.answers = { OperatorAnswer{ 200, csv } };
    EXPECT_EQ(run().output, csv);
    EXPECT_EQ(transport.lastToken, "secret");
}

TEST_F(CliRun, WaitReturnsWhenEveryRouterHasAppliedTheChange)
{
    set();
    line.wait = true;
    const OperatorAnswer pending{ 200, R"({"applied":false,"pending":["clue-1"]})" };
    transport.answers = { accepted, pending, OperatorAnswer{ 200, R"({"applied":true,"pending":[]})" } };
    EXPECT_EQ(run().output, "accepted, revision 12\napplied everywhere\n");
    EXPECT_EQ(transport.requests.back().path, "/v1/applied?version=12");
    transport.answers = { accepted };
    transport.answers.resize(200, pending);
    const auto result = run();
    EXPECT_EQ(result.exitCode, ExitCode::NotApplied);
    EXPECT_THAT(result.errors, HasSubstr("clue-1"));
}

TEST_F(CliRun, PlanThatDoesNotFitEndsWithRefused)
{
    line.action = CliAction::LeavePlan;
    line.row = "*/jm-a/*";
    transport.answers = { OperatorAnswer{ 200, R"({"fits":false,"services":[{"service":"clue-svc","fits":false,"reason":"too few"}]})" } };
    const auto result = run();
    EXPECT_EQ(result.exitCode, ExitCode::Refused);
    EXPECT_EQ(result.output, "fits: no\n\nservice   fits  reason\nclue-svc  no    too few\n");
    EXPECT_THAT(transport.requests[0].body, HasSubstr(R"("set":{"state":"leaving"})"));
}

TEST_F(CliRun, PrintsTablesAndJson)
{
    line.action = CliAction::TableShow;
    const OperatorAnswer table{
        200, R"({"version":4,"rows":[{"row":"clue-svc/*/*","revision":4,"weight":"50"},{"row":"*/jm-a/*","revision":12,"state":"out"}]})"
    };
    transport.answers = { table, table };
    EXPECT_EQ(run().output, "row           weight  state  revision\nclue-svc/*/*  50             4\n*/jm-a/*              out    12\n");
    line.json = true;
    EXPECT_EQ(nlohmann::json::parse(run().output), nlohmann::json::parse(table.body));
    line.action = CliAction::Owners;
    line.service = "clue-svc";
    const OperatorAnswer owners{
        200, R"({"version":4,"hot_keys":[],"partitions":[{"service":"clue-svc","partition":0,"instance":"one","epoch":3,"moving":true},
                                         {"service":"other","partition":0,"instance":"two","epoch":4,"moving":false}]})"
    };
    transport.answers = { owners, owners };
    EXPECT_EQ(nlohmann::json::parse(run().output)["partitions"].size(), 1);
    line.json = false;
    EXPECT_EQ(run().output, "service   partition  instance  epoch  moving\nclue-svc  0          one       3      yes\n");
}

TEST_F(CliRun, LeaveStatusShowsUnknownFiguresAndReasons)
{
    line.action = CliAction::LeaveStatus;
    transport.answers = {
        OperatorAnswer{
            200,
            R"({"failure_domains":[{"failure_domain":"jm-a","safe":false,"in_flight":null,"reasons":["1 partitions left","x"]}],"instances":[]})" }
    };
    EXPECT_THAT(run().output, HasSubstr("jm-a            no    unknown    1 partitions left; x"));
}

TEST_F(CliRun, StatusShowsControllersAndRouters)
{
    transport.answers = {
        OperatorAnswer{
            200,
            R"({"version":9,"controllers":{"term":2,"committed":9,"applied":9,"members":[{"replica":"1f","role":"voter","leader":true}]},"sessions":[{"service":"clue-svc","instance":"one","lease_ms":550}]})" }
    };
    const auto output = run().output;
    EXPECT_THAT(output, HasSubstr("version 9\nterm 2, committed 9, applied 9\n"));
    EXPECT_THAT(output, HasSubstr("1f       voter  yes"));
    EXPECT_THAT(output, HasSubstr("clue-svc  one       550"));
}
