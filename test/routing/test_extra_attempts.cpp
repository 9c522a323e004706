// Guards against retries and hedges that run a request twice, exceed their budget or answer a request twice.
#include "Toucandeck/Routing"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

struct RetryFixture
{
    std::optional<Duration> retry(Verdict verdict, std::string_view method, unsigned attempt = 0, bool received = false, Duration left = 1s)
    {
        for (int n = 0; n < 10; ++n) {
            policy.countRequest();
        }
        return policy.retryDelay({ verdict, method, attempt, received, clock.now() + left, 0ms });
    }

    ManualClock clock;
    SeededRandom random{ 1 };
    VerdictRetry policy{ clock, random };
};

} // namespace

TEST(VerdictRetry, RetriesOnlyWhatDoesNotRunTwice)
{
    RetryFixture it;
    EXPECT_TRUE(it.retry(Verdict::NotRun, "POST"));
    EXPECT_TRUE(it.retry(Verdict::MayHaveRun, "GET"));
    EXPECT_FALSE(it.retry(Verdict::MayHaveRun, "POST"));
    EXPECT_FALSE(it.retry(Verdict::Ran, "GET"));
    EXPECT_FALSE(it.retry(Verdict::NotRun, "GET", 2));
    EXPECT_FALSE(it.retry(Verdict::NotRun, "GET", 0, true));
    EXPECT_FALSE(it.retry(Verdict::NotRun, "GET", 0, false, 2ms));
}

TEST(VerdictRetry, DelayGrowsWithJitter)
{
    RetryFixture it;
    const auto first = *it.retry(Verdict::NotRun, "GET");
    const auto second = *it.retry(Verdict::NotRun, "GET", 1);
    EXPECT_TRUE(first >= 2500us && first <= 5ms);
    EXPECT_TRUE(second >= 5ms && second <= 10ms);
}

RC_GTEST_PROP(RetryBudget, NeverAboveItsShare, (const std::vector<bool> &steps))
{
    RetryBudget budget(0.1, 10, 1);
    for (const bool request : steps) {
        if (request) {
            budget.countRequest();
        } else {
            budget.tryAcquire();
        }
        RC_ASSERT(static_cast<double>(budget.acquiredCount()) <= 0.1 * static_cast<double>(budget.requestCount()) + 1.001);
    }
}

TEST(RetryBudget, GivesItsWholeShare)
{
    RetryBudget budget(0.03, 5);
    for (int n = 0; n < 10000; ++n) {
        budget.countRequest();
        budget.tryAcquire();
    }
    EXPECT_EQ(budget.acquiredCount(), 300U);
}

TEST(QuantileHedge, WaitsForTheQuantileAndKeepsToTheBudget)
{
    ManualClock clock;
    QuantileHedge hedge(clock);
    EXPECT_FALSE(hedge.hedgeDelay("GET"));
    for (int n = 1; n <= 100; ++n) {
        hedge.record(n * 1ms);
    }
    EXPECT_FALSE(hedge.hedgeDelay("POST"));
    const auto delay = hedge.hedgeDelay("GET");
    ASSERT_TRUE(delay);
    EXPECT_TRUE(*delay >= 99ms && *delay <= 106ms); // p99, accurate to one histogram bin
    EXPECT_FALSE(hedge.tryStartHedge()); // three requests allow no extra one yet
    int sent = 0;
    for (int n = 0; n < 1000; ++n) {
        hedge.hedgeDelay("GET");
        sent += hedge.tryStartHedge() ? 1 : 0;
    }
    EXPECT_EQ(sent, 30);
}

TEST(HedgedAttempts, FirstAnswerWinsAndTheOthersAreCancelled)
{
    HedgedAttempts attempts;
    attempts.add(1);
    attempts.add(2);
    EXPECT_EQ(attempts.onAnswered(2), std::vector<std::uint64_t>{ 1 });
    EXPECT_TRUE(attempts.isAnswered());
    EXPECT_EQ(attempts.onAnswered(1), std::nullopt); // a late answer is dropped
    EXPECT_FALSE(attempts.onFailed(1));
}

TEST(HedgedAttempts, FailsOnlyWithItsLastAttempt)
{
    HedgedAttempts attempts;
    attempts.add(1);
    attempts.add(2);
    EXPECT_FALSE(attempts.onFailed(1));
    EXPECT_TRUE(attempts.onFailed(2));
    attempts.add(3); // a retry
    EXPECT_EQ(attempts.onAnswered(3), std::vector<std::uint64_t>{});
}

TEST(HedgedAttemptsDeath, NoAttemptAfterTheAnswer)
{
    HedgedAttempts attempts;
    attempts.add(1);
    attempts.onAnswered(1);
    EXPECT_DEATH(attempts.add(2), "no further attempts");
}

TEST(HotKeySketch, FindsTheHottestAndForgetsWithinSeconds)
{
    ManualClock clock;
    HotKeySketch sketch(clock);
    SeededRandom random(1);
    const auto load = [&](std::uint64_t firstHot, int requests) {
        for (int n = 0; n < requests; ++n) {
            clock.advance(100us);
            const auto cold = 1'000'000 + random.below(5'000'000);
            sketch.record(KeyHash{ n % 3 == 0 ? firstHot + random.below(16) : cold });
        }
    };
    const auto hotAmong = [&](std::uint64_t firstHot) {
        const auto top = sketch.top(16);
        return std::count_if(
            top.begin(), top.end(), [&](const HotKey &it) { return it.key.value >= firstHot && it.key.value < firstHot + 16; });
    };
    load(1, 30'000); // 3 s at 10,000 requests/s
    EXPECT_EQ(hotAmong(1), 16);
    EXPECT_EQ(sketch.size(), 256U);
    load(101, 40'000);
    EXPECT_EQ(hotAmong(101), 16);
}

// A space-saving count is never too low, and too high by at most its error.
RC_GTEST_PROP(HotKeySketch, CountsAreWithinTheirError, (const std::vector<std::uint8_t> &keys))
{
    ManualClock clock;
    HotKeySketch sketch(clock, { .capacity = 8 });
    std::map<std::uint64_t, double> exact;
    for (const auto it : keys) {
        sketch.record(KeyHash{ it % 20U });
        ++exact[it % 20U];
    }
    for (const auto &it : sketch.top(8)) {
        RC_ASSERT(it.count >= exact[it.key.value] - 1e-9);
        RC_ASSERT(it.count - it.error <= exact[it.key.value] + 1e-9);
    }
}
