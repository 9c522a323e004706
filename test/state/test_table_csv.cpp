// Guards against an import that is applied only in part, and an export that cannot be imported again.
#include "state/table_csv.h"
#include "test/state/command_builders.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::testing;
using ::testing::HasSubstr;

namespace
{

constexpr auto header = "service,failure_domain,instance,weight,slots,connections,state,leave_time,key,partitions,fenced,revision\n";

std::string importError(const std::string &text)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(TableCsv::read(text, "id"));
            return std::string("accepted");
        },
        [](const Error &error) { return error.message; });
}

wire::Command importCommand(const std::string &text, const std::string &id)
{
    wire::Command command;
    *command.mutable_edit_table() = handleError([&] { return TableCsv::read(text, id); },
                                                [](const Error &error) -> wire::EditTable { throw std::runtime_error(error.message); });
    return command;
}

} // namespace

TEST(TableCsv, ExportIsReadBackAndChangesNothing)
{
    StateHarness harness;
    harness.edit("a", { rowEdit("clue-svc/*/*", { "key=header:Team", "fenced=yes", "weight=50" }), rowEdit("*/jm-a/*", { "state=out" }) });
    harness.edit("b", { rowEdit("clue-svc/jm-a/one", { "leave_time=2026-12-04T18:30:00Z", "slots=9", "connections=130" }) });
    const auto text = TableCsv::write(harness.view());
    EXPECT_EQ(text,
              std::string(header) + "*,jm-a,*,,,,out,,,,,1\n" + "clue-svc,*,*,50,,,,,header:Team,256,yes,1\n"
                  + "clue-svc,jm-a,one,,9,130,,2026-12-04T18:30:00Z,,,,2\n");
    EXPECT_EQ(harness.apply(importCommand(text, "c")).edit->status(), wire::ACCEPTED);
    EXPECT_EQ(TableCsv::write(harness.view()), text);
}

TEST(TableCsv, ImportChangesAndClearsAndConflictsAsAWhole)
{
    StateHarness harness;
    harness.edit("a", { rowEdit("clue-svc/*/*", { "weight=50", "slots=4" }) });
    const std::string text = "revision,service,failure_domain,instance,weight\r\n1,clue-svc,*,*,\r\n0,\"hunt-svc\",*,*,7\r\n\r\n";
    EXPECT_EQ(harness.apply(importCommand(text, "b")).edit->status(), wire::ACCEPTED);
    EXPECT_EQ(harness.view().effectiveRow("clue-svc", "x", "y").weight, 100);
    EXPECT_EQ(harness.view().effectiveRow("clue-svc", "x", "y").slots, 4);
    EXPECT_EQ(harness.view().effectiveRow("hunt-svc", "x", "y").weight, 7);
    const auto before = harness.view().digest();
    EXPECT_EQ(harness.apply(importCommand(text, "c")).edit->status(), wire::CONFLICT);
    EXPECT_EQ(harness.view().digest(), before);
}

TEST(TableCsv, BadFilesAreRefusedWithLineAndColumn)
{
    const std::string good = "clue-svc,*,*,50,,,,,,,,1\n";
    const std::pair<std::string, const char *> cases[] = {
        { "", "line 1: the file needs a header line" },
        { header, "at least one row" },
        { "service,failure_domain,instance,wight,revision\n" + good, "line 1, column \"wight\": unknown column" },
        { "service,failure_domain,instance\n" + good, "line 1, column \"revision\": column is missing" },
        { "service,service\n" + good, "line 1, column \"service\": column appears twice" },
        { header + good + "hunt-svc,*,*,5000,,,,,,,,1\n",
          "line 3, column \"weight\": must be a whole number from 0 to 1000, not \"5000\"" },
        { header + good + "hunt-svc,*,*,5,,,gone,,,,,1\n", "line 3, column \"state\": must be serving" },
        { header + good + "hunt-svc,jm-a,*,5,,,,,none,,,1\n", "line 3, column \"key\": allowed only in a row SERVICE/*/*" },
        { header + good + "hunt-svc,*,*,5,,,,,,,,\n", "line 3, column \"revision\": must be a whole number" },
        { header + good + "hunt svc,*,*,5,,,,,,,,1\n", "line 3, column \"service\": \"hunt svc\" is not a name" },
        { header + good + good, "line 3, column \"service\": row clue-svc/*/* appears twice" },
        { header + good + "hunt-svc,*,*\n", "line 3, column \"weight\": the line has 3 fields, the header line has 12" },
        { header + good + "\"hunt\nsvc\",*,*,5,,,,,,,,1\n*,*,*,5,,,,,,,,1\n", "line 3, column \"service\"" },
        { header + std::string("\"a\nb") + "\",*", "line 2, column" },
        { header + std::string("\"abc"), "line 2, column 1: the closing quote is missing" },
        { header + std::string("a,b\"c"), "line 2, column 2: a quote inside a field" },
        { header + std::string("a,\"b\"c"), "line 2, column 2: text after the closing quote" },
    };
    for (const auto &[text, message] : cases) {
        EXPECT_THAT(importError(text), HasSubstr(message)) << text;
    }
}
