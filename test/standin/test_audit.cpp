// Guards against an audit that overlooks a violation: each kind is planted once and must be counted.
#include "audit.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::Standin;

namespace
{

constexpr std::int64_t kMillisecond = 1'000'000;

CallerRecord submission(const std::string &id, std::vector<Attempt> attempts)
{
    return { id, "judge-svc", "-", false, std::move(attempts) };
}

Attempt told(Verdict verdict, std::uint32_t status)
{
    return { 0, kMillisecond, 2 * kMillisecond, status, verdict, true };
}

Execution executed(const std::string &id, std::uint32_t attempt = 0)
{
    return { id, "-", 0, attempt, kMillisecond, "judge-1" };
}

} // namespace

TEST(Audit, CleanRunHasNoViolations)
{
    const auto report
        = audit({ submission("a", { told(Verdict::Ran, 200) }), submission("b", { told(Verdict::NotRun, 503) }) }, { executed("a") });
    EXPECT_EQ(report.violations(), 0U);
    EXPECT_EQ(report.answered, 1U);
    EXPECT_EQ(report.refused, 1U);
}

TEST(Audit, CountsLostSubmission)
{
    EXPECT_EQ(audit({ submission("a", { told(Verdict::Ran, 200) }) }, {}).lost, 1U);
}

TEST(Audit, CountsDoubledSubmission)
{
    EXPECT_EQ(audit({ submission("a", { told(Verdict::Ran, 200) }) }, { executed("a"), executed("a", 1) }).doubled, 1U);
}

TEST(Audit, CountsFalseNotRunPerAttempt)
{
    auto second = told(Verdict::Ran, 200);
    second.number = 1;
    const auto record = submission("a", { told(Verdict::NotRun, 503), second });
    EXPECT_EQ(audit({ record }, { executed("a", 0) }).falseNotRun, 1U);
    EXPECT_EQ(audit({ record }, { executed("a", 1) }).falseNotRun, 0U);
}

TEST(Audit, CountsWrongAnswer)
{
    auto attempt = told(Verdict::Ran, 200);
    attempt.answerMatches = false;
    EXPECT_EQ(audit({ submission("a", { attempt }) }, { executed("a") }).wrongAnswers, 1U);
}

TEST(Audit, CountsOlderEpochAfterNewerOne)
{
    const Execution newer{ "a", "team-1", 8, 0, 1 * kMillisecond, "clue-2" };
    const Execution older{ "b", "team-1", 7, 0, 2 * kMillisecond, "clue-1" };
    const Execution sameEpoch{ "c", "team-1", 8, 0, 3 * kMillisecond, "clue-1" };
    EXPECT_EQ(audit({}, { newer, older }).twoOwners, 1U);
    EXPECT_EQ(audit({}, { newer, sameEpoch }).twoOwners, 1U);
    EXPECT_EQ(audit({}, { older, newer }).twoOwners, 1U) << "order is by start time, not by position";
}

TEST(Audit, MeasuresWorstGapPerKey)
{
    const auto lookup = [](const std::string &id, std::int64_t ms) {
        return CallerRecord{ id, "clue-svc", "team-1", true, { { 0, ms * kMillisecond, ms * kMillisecond, 200, Verdict::Ran, true } } };
    };
    const auto report = audit({ lookup("a", 10), lookup("b", 900), lookup("c", 20) }, {});
    EXPECT_EQ(report.worstGap, std::chrono::milliseconds(880));
}
