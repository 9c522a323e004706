// Guards against commands that scripts rely on being read differently, and against wrong exit codes for wrong usage.
#include "cli/command_line.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Toucandeck;
using ::testing::ElementsAre;
using ::testing::HasSubstr;

namespace
{

CommandLine read(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), { "--controllers", "127.0.0.1:1,127.0.0.1:2" });
    const auto result = parseCommandLine(arguments);
    if (const auto *end = std::get_if<CommandLineEnd>(&result)) {
        ADD_FAILURE() << end->text;
        return {};
    }
    return std::get<CommandLine>(result);
}

CommandLineEnd earlyExitOf(const std::vector<std::string> &arguments)
{
    const auto result = parseCommandLine(arguments);
    const auto *end = std::get_if<CommandLineEnd>(&result);
    return end ? *end : CommandLineEnd{ -1, "accepted" };
}

} // namespace

TEST(CommandLine, ReadsEveryCommandOfTheDesign)
{
    const std::pair<std::vector<std::string>, CliAction> commands[] = {
        { { "table", "show", "--json" }, CliAction::TableShow },
        { { "table", "export", "--csv" }, CliAction::TableExport },
        { { "table", "import", "file.csv" }, CliAction::TableImport },
        { { "table", "set", "clue-svc/*/*", "weight=5", "--revision", "3" }, CliAction::TableSet },
        { { "table", "--wait" }, CliAction::TableWait },
        { { "status" }, CliAction::Status },
        { { "owners", "--service", "clue-svc", "--json" }, CliAction::Owners },
        { { "controllers", "show" }, CliAction::ControllersShow },
        { { "controllers", "add", "1f", "--failure-domain", "jm-a", "--address", "a", "--http-address", "b" }, CliAction::ControllersAdd },
        { { "controllers", "remove", "1f" }, CliAction::ControllersRemove },
        { { "leave", "plan", "*/jm-a/*" }, CliAction::LeavePlan },
        { { "leave", "status" }, CliAction::LeaveStatus },
        { { "events" }, CliAction::Events },
    };
    for (const auto &[arguments, action] : commands) {
        const auto line = read(arguments);
        EXPECT_EQ(line.action, action) << arguments[0] << " " << arguments.back();
        EXPECT_THAT(line.controllers, ElementsAre("127.0.0.1:1", "127.0.0.1:2"));
    }
}

TEST(CommandLine, ReadsTheOptionsOfAnEdit)
{
    const auto line = read({ "--token-file",
                             "t",
                             "--timeout",
                             "2.5",
                             "table",
                             "set",
                             "clue-svc/*/*",
                             "weight=5",
                             "slots=",
                             "--revision",
                             "7",
                             "--wait",
                             "--force",
                             "--request-id",
                             "r" });
    EXPECT_EQ(line.row, "clue-svc/*/*");
    EXPECT_THAT(line.assignments, ElementsAre("weight=5", "slots="));
    EXPECT_EQ(line.revision, 7);
    EXPECT_TRUE(line.wait && line.force);
    EXPECT_EQ(line.requestId, "r");
    EXPECT_EQ(line.tokenFile, "t");
    EXPECT_EQ(line.timeout, std::chrono::milliseconds(2500));
}

TEST(CommandLine, WrongUsageEndsWithCode2)
{
    const std::vector<std::string> cases[] = {
        {},
        { "--controllers", "a" },
        { "status" },
        { "--controllers", "a", "table" },
        { "--controllers", "a", "table", "export" },
        { "--controllers", "a", "table", "set", "clue-svc/*/*", "weight=5" },
        { "--controllers", "a", "table", "set", "clue-svc/*/*", "weight=5", "--revision", "-1" },
        { "--controllers", "a", "stauts" },
        { "--controllers", "a", "--timeout", "0", "status" },
        { "--controllers", "a", "events", "--jsn" },
    };
    for (const auto &it : cases) {
        EXPECT_EQ(earlyExitOf(it).exitCode, 2) << ::testing::PrintToString(it) << earlyExitOf(it).text;
    }
}

TEST(CommandLine, HelpListsTheExitCodes)
{
    const auto help = earlyExitOf({ "--help" });
    EXPECT_EQ(help.exitCode, 0);
    EXPECT_THAT(help.text, HasSubstr("3  conflict"));
}
