// Guards against requests that run twice and against records that are lost in a move, in a crash or for lack of memory.
#include "admission/fixture.h"

#include "common/key_hash.h"

#include <map>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t kPartitions = 16;

IdempotencyId idOf(const std::string &key)
{
    return { "judge-svc", hashKey("team-7"), key };
}

struct Owner
{
    explicit Owner(const Clock &clock, IdempotencyOptions options = {})
        : table(clock, options)
        , wall(clock)
    {
    }

    /// "run", "wait", "unknown", "refused", or the body of the stored answer.
    std::string
    begin(const std::string &key, std::uint64_t waiter = 1, std::optional<WallTime> firstSent = {}, WallTime outcomeUnknownUntil = {})
    {
        const IdempotencyRequest request{ idOf(key), partitionOf(idOf(key).keyHash, kPartitions), waiter, firstSent, outcomeUnknownUntil };
        return handleError(
            [&]() -> Result<std::string> {
                BOOST_LEAF_AUTO(result, table.begin(request));
                if (const auto *stored = std::get_if<AnswerStored>(&result)) {
                    return stored->answer->body;
                }
                return std::string(std::holds_alternative<RunNow>(result)               ? "run"
                                       : std::holds_alternative<WaitForRunning>(result) ? "wait"
                                                                                        : "unknown");
            },
            [](const Error &error) { return std::string(error.verdict == Verdict::NotRun ? "refused" : "wrong verdict"); });
    }

    IdempotencyTable table;
    const Clock &wall;
};

const std::array<PartitionId, 1> kMoved{ partitionOf(hashKey("team-7"), kPartitions) };

} // namespace

TEST(IdempotencyTable, RunsOnceAndAnswersTheRest)
{
    ManualClock clock;
    Owner it(clock);
    EXPECT_EQ(it.begin("a", 1), "run");
    EXPECT_EQ(it.begin("a", 2), "wait");
    EXPECT_EQ(it.begin("a", 3), "wait");
    it.table.removeWaiter(idOf("a"), 2);
    EXPECT_EQ(it.table.complete(idOf("a"), { 200, { { "X", "1" } }, "judged" }), std::vector<std::uint64_t>{ 3 });
    EXPECT_EQ(it.begin("a", 4), "judged");
    EXPECT_EQ(it.begin("b", 5), "run");
}

TEST(IdempotencyTable, NotRunMayRunAgainButMayHaveRunMayNot)
{
    ManualClock clock;
    Owner it(clock);
    it.begin("a");
    it.begin("a", 2);
    EXPECT_EQ(it.table.abandon(idOf("a"), Verdict::NotRun), std::vector<std::uint64_t>{ 2 });
    EXPECT_EQ(it.begin("a", 2), "run");
    it.table.abandon(idOf("a"), Verdict::MayHaveRun);
    EXPECT_EQ(it.begin("a", 3), "unknown");
}

TEST(IdempotencyTable, RecordsLastForTheRetention)
{
    ManualClock clock;
    Owner it(clock);
    const auto sent = clock.wallNow();
    it.begin("a", 1, sent);
    clock.advance(5s);
    it.table.complete(idOf("a"), { 200, {}, "judged" });
    clock.advance(10min);
    EXPECT_EQ(it.begin("a", 2, sent), "judged");
    clock.advance(1ms);
    EXPECT_EQ(it.begin("a", 3, sent), "unknown"); // the record has expired; the old first-sent time shows that the request may have run
    EXPECT_EQ(it.table.size(), 0U);
    EXPECT_EQ(it.table.bytes(), 0U);
}

TEST(IdempotencyTable, AfterACrashOnlyWorkSentLaterRuns)
{
    ManualClock clock;
    Owner it(clock);
    const auto lost = outcomeUnknownUntilAfterCrash(clock.wallNow());
    EXPECT_EQ(it.begin("no first-sent", 1, {}, lost), "unknown");
    EXPECT_EQ(it.begin("at the bound", 1, lost, lost), "unknown");
    clock.advance(1s);
    EXPECT_EQ(it.begin("later", 1, lost + 1ms, lost), "run");
    EXPECT_EQ(it.begin("clock ahead", 1, clock.wallNow() + 1s, lost), "unknown");
    clock.advance(10min);
    EXPECT_EQ(it.begin("no first-sent", 1, {}, lost), "run");
}

TEST(IdempotencyTable, MoveKeepsRecordsWithTheirAge)
{
    ManualClock clock;
    Owner from(clock);
    Owner to(clock);
    from.begin("done");
    from.table.complete(idOf("done"), { 201, { { "Content-Type", "text/plain" } }, "judged" });
    from.begin("lost");
    from.table.abandon(idOf("lost"), Verdict::MayHaveRun);
    clock.advance(9min);
    from.begin("running");
    const auto records = from.table.exportRecords("judge-svc", kMoved);
    EXPECT_EQ(records.size(), 3U);
    EXPECT_TRUE(from.table.exportRecords("hunt-svc", kMoved).empty());
    to.table.importRecords(records, kPartitions);
    to.table.importRecords(records, kPartitions); // a resent transfer
    EXPECT_EQ(to.begin("done"), "judged");
    EXPECT_EQ(to.begin("lost"), "unknown");
    EXPECT_EQ(to.begin("running"), "unknown");
    const auto again = to.table.exportRecords("judge-svc", kMoved);
    EXPECT_EQ(again.size(), 3U);
    clock.advance(61s);
    to.table.importRecords({}, kPartitions);
    EXPECT_EQ(to.table.size(), 1U);
    from.table.abandon(idOf("running"), Verdict::MayHaveRun);
    from.table.drop("judge-svc", kMoved);
    EXPECT_EQ(from.table.size(), 0U);
    EXPECT_EQ(from.table.bytes(), 0U);
}

TEST(IdempotencyTable, FullTableRefusesNewWorkAndForgetsNothing)
{
    ManualClock clock;
    Owner it(clock, { .maxBytes = 20'000 });
    std::size_t kept = 0;
    while (it.begin("key " + std::to_string(kept)) == "run") {
        it.table.complete(idOf("key " + std::to_string(kept)), { 200, {}, std::string(3000, 'x') });
        ++kept;
        ASSERT_LE(it.table.bytes(), 20'000U);
        ASSERT_LT(kept, 100U);
    }
    EXPECT_EQ(it.begin("one more"), "refused");
    for (std::size_t n = 0; n < kept; ++n) {
        EXPECT_EQ(it.begin("key " + std::to_string(n)).size(), 3000U);
    }
    clock.advance(10min + 1ms);
    EXPECT_EQ(it.begin("one more"), "run");
}

TEST(IdempotencyTable, AnswerWithoutRoomBecomesUnknown)
{
    ManualClock clock;
    Owner it(clock, { .maxBytes = 20'000 });
    it.begin("large");
    it.table.complete(idOf("large"), { 200, {}, std::string(30'000, 'x') });
    EXPECT_EQ(it.begin("large"), "unknown");
    EXPECT_LE(it.table.bytes(), 20'000U);
}

TEST(IdempotencyTableDeath, CompletingTwiceAborts)
{
    ManualClock clock;
    Owner it(clock);
    it.begin("a");
    it.table.complete(idOf("a"), {});
    EXPECT_DEATH(it.table.complete(idOf("a"), {}), "only running work ends");
}

// Without crashes, moves and memory limits the table must behave like a map from key to first answer.
RC_GTEST_PROP(IdempotencyDifferential, SameAnswersAsAMap, (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &steps))
{
    ManualClock clock;
    Owner it(clock);
    std::map<std::string, std::string> naive; // "" while running
    for (const auto &[number, action] : steps) {
        const auto key = std::to_string(number % 8);
        const auto known = naive.find(key);
        const auto answer = it.begin(key);
        if (known == naive.end()) {
            RC_ASSERT(answer == "run");
            naive[key] = "";
        } else {
            RC_ASSERT(answer == (known->second.empty() ? "wait" : known->second));
        }
        if (naive[key].empty() && action % 3 == 0) {
            naive[key] = "answer to " + key;
            it.table.complete(idOf(key), { 200, {}, naive[key] });
        } else if (naive[key].empty() && action % 3 == 1) {
            naive.erase(key);
            it.table.abandon(idOf(key), Verdict::NotRun);
        }
    }
}
