#pragma once

#include "common/time.h"

namespace Toucandeck
{

using namespace std::chrono_literals;

/// Duration of a lease. The time budget for a single loss (641 ms, 891 ms without fencing) follows from it.
constexpr Duration kLeaseTtl = 600ms;
/// Interval between renewals: two may be lost before the lease expires.
constexpr Duration kRenewInterval = 200ms;
/// An unanswered renewal is sent to all controllers after this time.
constexpr Duration kRenewTimeout = 60ms;
/// Maximum age of a view with which a lease is extended. Together with the remaining lease it stays below the 3 s of P4 and P8.
constexpr Duration kMaxViewAge = 2s;
/// Additional wait before a grant after a crash, for backend servers that do not check grants: their router cancels the requests in
/// flight when it detects that its lease has expired, which takes one tick and the closing of a connection.
constexpr Duration kUnfencedCrashWait = 250ms;
/// Interval of tick() on both sides.
constexpr Duration kOwnershipTick = 10ms;
/// Bound on the rate error of a monotonic clock against real time.
constexpr std::int64_t kClockDriftPpm = 1000;

/// Duration of a lease on the holder's clock, which may run slow by the drift bound; rounded down.
constexpr Duration holderLease(Duration ttl)
{
    return Duration(ttl.count() - ttl.count() * kClockDriftPpm / 1'000'000 - 1);
}

/// Duration of a lease on the grantor's clock, which may run fast by the drift bound; rounded up. Each side corrects its own clock,
/// so that the holder never counts more than @p ttl of real time and the grantor never less.
constexpr Duration grantorLease(Duration ttl)
{
    return Duration(ttl.count() + ttl.count() * kClockDriftPpm / 1'000'000 + 1);
}

} // namespace Toucandeck
