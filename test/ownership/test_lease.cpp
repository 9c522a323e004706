// Guards against a lease that its holder counts longer than the grantor does.
#include "ownership/commit_times.h"
#include "ownership/grant_holds.h"
#include "ownership/lease.h"
#include "ownership/lease_holder.h"
#include "ownership/lease_table.h"
#include "ownership/leave_deadline.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::internal;

namespace
{

const TimePoint kStart{ std::chrono::hours(1) };

/// Real time in milliseconds in which a clock with this rate error advances by @p counted.
double realMs(Duration counted, int driftPpm)
{
    return std::chrono::duration<double, std::milli>(counted).count() / (1 + driftPpm / 1e6);
}

} // namespace

RC_GTEST_PROP(Lease, HolderEndsBeforeGrantorWithAnyDrift, ())
{
    const auto ttl = Duration(*rc::gen::inRange<std::int64_t>(1'000'000, 10'000'000'000));
    const auto holderDrift = *rc::gen::inRange(-1000, 1001);
    const auto grantorDrift = *rc::gen::inRange(-1000, 1001);
    RC_ASSERT(realMs(holderLease(ttl), holderDrift) <= realMs(grantorLease(ttl), grantorDrift));
}

TEST(LeaseHolder, CountsFromTheSendingOfTheRenewal)
{
    LeaseHolder lease;
    const auto sequence = lease.recordRenewal(kStart);
    lease.onGranted(sequence, kLeaseTtl, kStart + 100ms);
    EXPECT_TRUE(lease.isValid(kStart + 599ms));
    EXPECT_FALSE(lease.isValid(kStart + kLeaseTtl));
}

TEST(LeaseHolder, AnswerAfterAPauseGivesNothing)
{
    LeaseHolder lease;
    const auto sequence = lease.recordRenewal(kStart);
    lease.onGranted(sequence, kLeaseTtl, kStart + 3s);
    EXPECT_FALSE(lease.isValid(kStart + 3s));
}

TEST(LeaseHolder, IgnoresUnknownRenewalsAndThoseBeforeReset)
{
    LeaseHolder lease;
    const auto old = lease.recordRenewal(kStart);
    lease.reset();
    lease.onGranted(old, kLeaseTtl, kStart);
    lease.onGranted(99, kLeaseTtl, kStart);
    EXPECT_FALSE(lease.isValid(kStart));
    EXPECT_GT(lease.recordRenewal(kStart), old);
}

TEST(LeaseHolder, CrossedAnswersNeverShortenTheLease)
{
    LeaseHolder lease;
    const auto first = lease.recordRenewal(kStart);
    const auto second = lease.recordRenewal(kStart + 200ms);
    lease.onGranted(second, kLeaseTtl, kStart + 210ms);
    const auto end = lease.end();
    lease.onGranted(first, kLeaseTtl, kStart + 220ms);
    EXPECT_EQ(lease.end(), end);
}

TEST(LeaseTable, EndsNoEarlierThanTheLatestRenewal)
{
    LeaseTable leases;
    leases.renew(SessionId{ 1 }, kStart + 100ms);
    leases.renew(SessionId{ 1 }, kStart);
    EXPECT_FALSE(leases.hasExpired(SessionId{ 1 }, kStart + 100ms + kLeaseTtl));
    EXPECT_TRUE(leases.hasExpired(SessionId{ 1 }, kStart + 101ms + kLeaseTtl));
    EXPECT_TRUE(leases.expiredSessions(kStart + 700ms).empty());
    EXPECT_EQ(leases.expiredSessions(kStart + 701ms), std::vector{ SessionId{ 1 } });
}

TEST(GrantHolds, HoldUntilTheLatestTime)
{
    GrantHolds holds;
    holds.hold("clue", PartitionId{ 3 }, kStart + 20ms);
    holds.hold("clue", PartitionId{ 3 }, kStart + 10ms);
    EXPECT_FALSE(holds.removeExpired(kStart + 19ms));
    EXPECT_TRUE(holds.isHeld("clue", PartitionId{ 3 }, kStart + 19ms));
    EXPECT_FALSE(holds.isHeld("judge", PartitionId{ 3 }, kStart + 19ms));
    EXPECT_TRUE(holds.removeExpired(kStart + 20ms));
    EXPECT_FALSE(holds.isHeld("clue", PartitionId{ 3 }, kStart));
}

TEST(CommitTimes, RequireWhatWasAppliedTwoSecondsAgo)
{
    CommitTimes commits;
    commits.reset(LogIndex{ 5 });
    commits.record(LogIndex{ 6 }, kStart);
    commits.record(LogIndex{ 8 }, kStart + 1s);
    EXPECT_EQ(commits.requiredVersion(kStart + 1999ms), LogIndex{ 5 });
    EXPECT_EQ(commits.requiredVersion(kStart + 2s), LogIndex{ 6 });
    EXPECT_EQ(commits.versionAt(kStart + 900ms), LogIndex{ 6 });
    EXPECT_EQ(commits.requiredVersion(kStart + 3s), LogIndex{ 8 });
}

TEST(CommitTimesDeathTest, VersionsOnlyGrow)
{
    CommitTimes commits;
    commits.record(LogIndex{ 6 }, kStart);
    EXPECT_DEATH(commits.record(LogIndex{ 6 }, kStart), "versions only grow");
}

TEST(LeaveDeadline, CountsFromTheLastAnswerOfALeaderThatDidNotKnow)
{
    LeaveDeadline leave;
    leave.recordLeaderVersion(LogIndex{ 10 }, kStart);
    leave.recordLeaderVersion(LogIndex{ 12 }, kStart + 200ms);
    leave.update(false, LogIndex{ 11 }, kStart + 2s);
    EXPECT_TRUE(leave.admits(kStart + 2799ms));
    EXPECT_FALSE(leave.admits(kStart + 2800ms));
    leave.update(true, LogIndex{ 13 }, kStart + 3s);
    EXPECT_TRUE(leave.admits(kStart + 3s));
}

TEST(LeaveDeadline, AdmitsNothingWhenTheTimeOfLeavingIsUnknown)
{
    LeaveDeadline leave;
    leave.update(false, LogIndex{ 11 }, kStart);
    EXPECT_FALSE(leave.admits(kStart));
}
