// Guards against table edits that are lost or applied twice after races, resends and restarts, and against invalid values in the
// table.
#include "test/state/command_builders.h"

#include <array>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::testing;
using ::testing::HasSubstr;

TEST(Edits, FirstOfTwoWithEqualRevisionsWinsAndTheOtherSeesBothValues)
{
    StateHarness harness;
    harness.edit("a", { rowEdit("clue-svc/*/*", { "weight=50" }) });
    EXPECT_EQ(harness.edit("b", { rowEdit("clue-svc/*/*", { "weight=60" }, 1) }).status(), wire::ACCEPTED);
    const auto answer = harness.edit("c", { rowEdit("clue-svc/*/*", { "weight=70" }, 1) });
    EXPECT_EQ(answer.status(), wire::CONFLICT);
    EXPECT_EQ(answer.message(), "row clue-svc/*/*: the edit names revision 1, but the present one is 2; weight: present 60, requested 70");
    EXPECT_EQ(harness.view().effectiveRow("clue-svc", "jm-a", "one").weight, 60);
}

TEST(Edits, AllRowsOfACommandAreChangedOrNone)
{
    StateHarness harness;
    harness.edit("a", { rowEdit("clue-svc/*/*", { "weight=50" }) });
    const auto before = harness.view().digest();
    EXPECT_EQ(harness.edit("b", { rowEdit("*/jm-a/*", { "state=out" }), rowEdit("clue-svc/*/*", { "weight=60" }, 7) }).status(),
              wire::CONFLICT);
    EXPECT_EQ(harness.view().digest(), before);
    EXPECT_EQ(harness.edit("c", { rowEdit("*/jm-a/*", { "state=out" }), rowEdit("clue-svc/*/*", { "weight=60" }, 1) }).status(),
              wire::ACCEPTED);
    EXPECT_EQ(harness.view().row({ "", "jm-a", "" })->revision(), 3);
    EXPECT_EQ(harness.view().row({ "clue-svc", "", "" })->revision(), 3);
}

TEST(Edits, ResentEditGetsItsFirstAnswerAfterARestart)
{
    StateHarness harness;
    harness.edit("a", { rowEdit("clue-svc/*/*", { "weight=50" }) });
    const auto conflict = harness.edit("b", { rowEdit("clue-svc/*/*", { "weight=60" }, 9) });
    ClusterState restored;
    ASSERT_TRUE(restored.restore(harness.state.snapshot()));
    harness.state = std::move(restored);
    EXPECT_EQ(harness.edit("a", { rowEdit("clue-svc/*/*", { "weight=50" }) }).revision(), 1);
    EXPECT_EQ(harness.edit("b", { rowEdit("clue-svc/*/*", { "weight=60" }, 9) }).message(), conflict.message());
    EXPECT_EQ(harness.view().row({ "clue-svc", "", "" })->revision(), 1);
}

TEST(Edits, TheLast10000AnswersAreKept)
{
    StateHarness harness;
    for (int i = 0; i < 10'001; ++i) {
        harness.edit("id-" + std::to_string(i), { rowEdit("clue-svc/*/*", { "weight=" + std::to_string(i % 1000) }, harness.lastIndex) });
    }
    EXPECT_EQ(harness.state.editAnswer("id-0"), nullptr);
    ASSERT_NE(harness.state.editAnswer("id-1"), nullptr);
    EXPECT_EQ(harness.state.editAnswer("id-1")->revision(), 2);
}

TEST(Edits, UnchangedRowKeepsItsRevision)
{
    StateHarness harness;
    harness.edit("a", { rowEdit("clue-svc/*/*", { "weight=50" }) });
    EXPECT_EQ(harness.edit("b", { rowEdit("clue-svc/*/*", { "weight=50" }, 1) }).status(), wire::ACCEPTED);
    EXPECT_EQ(harness.view().row({ "clue-svc", "", "" })->revision(), 1);
}

TEST(Edits, NumberOfPartitionsIsFixedAndTheServiceStaysPartitioned)
{
    StateHarness harness;
    harness.edit("a", { rowEdit("clue-svc/*/*", { "key=segment:1" }) });
    EXPECT_EQ(harness.view().serviceSettings("clue-svc").partitions, 256);
    const auto answer = harness.edit("b", { rowEdit("clue-svc/*/*", { "partitions=64" }, 1) });
    EXPECT_EQ(answer.status(), wire::INVALID);
    EXPECT_EQ(answer.message(), "row clue-svc/*/*: column \"partitions\" is fixed at 256 since the creation of the service");
    EXPECT_EQ(harness.edit("c", { rowEdit("clue-svc/*/*", { "key=none" }, 1) }).status(), wire::INVALID);
    EXPECT_EQ(harness.edit("d", { rowEdit("clue-svc/*/*", { "key=header:Team" }, 1) }).status(), wire::ACCEPTED);
    EXPECT_EQ(harness.view().serviceSettings("clue-svc").header, "Team");
}

TEST(Edits, BadTextIsRefusedWithTheProblemNamed)
{
    const std::array<std::string, 3> cases[] = {
        { "clue-svc/*/*", "wight=1", "unknown column \"wight\" (known: weight, slots" },
        { "clue-svc/*/*", "weight=1001", "column \"weight\" must be a whole number from 0 to 1000, not \"1001\"" },
        { "clue-svc/*/*", "weight=-1", "from 0 to 1000, not \"-1\"" },
        { "clue-svc/*/*", "slots=0", "from 1 to 10000, not \"0\"" },
        { "clue-svc/*/*", "connections=100001", "from 1 to 100000" },
        { "clue-svc/*/*", "partitions=65537", "from 1 to 65536" },
        { "clue-svc/*/*", "key=segment:", "must be none, segment:N" },
        { "clue-svc/*/*", "key=segment:64", "N from 1 to 63" },
        { "clue-svc/*/*", "key=header:a b", "header:NAME, not \"header:a b\"" },
        { "clue-svc/*/*", "fenced=true", "must be yes or no, not \"true\"" },
        { "clue-svc/*/*", "state=gone", "must be serving, leaving or out, not \"gone\"" },
        { "*/jm-a/*", "leave_time=2026-02-30T00:00:00Z", "must be a UTC time" },
        { "*/jm-a/*", "leave_time=tomorrow", "must be a UTC time" },
        { "*/jm-a/*", "key=none", "allowed only in a row SERVICE/*/*" },
        { "*/jm-a/*", "weight", "not of the form COLUMN=VALUE" },
        { "*/*/*", "weight=1", "must be SERVICE/*/*" },
        { "*/jm-a/one", "weight=1", "must be SERVICE/*/*" },
        { "clue-svc/jm-a", "weight=1", "must be SERVICE/DOMAIN/INSTANCE" },
        { "clue svc/*/*", "weight=1", "\"clue svc\" is not a name" },
    };
    for (const auto &it : cases) {
        const auto message = handleError(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(parseRowEdit(it[0], std::vector<std::string>{ it[1] }, {}));
                return std::string("accepted");
            },
            [](const Error &error) { return error.message; });
        EXPECT_THAT(message, HasSubstr(it[2])) << it[0] << " " << it[1];
    }
}

TEST(Edits, ValuesOutOfRangeInTheMessageAreInvalid)
{
    StateHarness harness;
    auto edit = rowEdit("clue-svc/*/*", { "weight=5" });
    edit.mutable_row()->set_weight(1001);
    EXPECT_EQ(harness.edit("a", { edit }).status(), wire::INVALID);
    auto unknownState = rowEdit("clue-svc/*/*", { "weight=5" });
    unknownState.mutable_row()->set_state(static_cast<wire::RowState>(9));
    EXPECT_EQ(harness.edit("b", { unknownState }).status(), wire::INVALID);
    EXPECT_EQ(harness.edit("", { rowEdit("clue-svc/*/*", { "weight=5" }) }).status(), wire::INVALID);
    EXPECT_EQ(harness.edit("c", {}).status(), wire::INVALID);
    EXPECT_TRUE(harness.view().rows().empty());
}

TEST(Edits, LeaveTimeTextIsReadBack)
{
    for (const auto *text : { "1970-01-01T00:00:00Z", "2026-12-04T18:30:05.250Z", "2028-02-29T23:59:59Z", "9999-12-31T23:59:59.999Z" }) {
        EXPECT_EQ(columnText(rowEdit("*/jm-a/*", { std::string("leave_time=") + text }).row(), "leave_time"), text);
    }
}
