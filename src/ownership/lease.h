#pragma once

#include "common/time.h"

namespace Toucandeck
{

using namespace std::chrono_literals;

/// Length of a lease. The budget for one loss (641 ms, 891 ms without fencing) follows from it.
constexpr Duration kLeaseTtl = 600ms;
/// Interval between renewals: two may be lost before the lease ends.
constexpr Duration kRenewInterval = 200ms;
/// An unanswered renewal is sent to all controllers after this time.
constexpr Duration kRenewTimeout = 60ms;
/// Oldest view that may hold a lease. With the rest of a lease it stays below the 3 s of P4 and P8.
constexpr Duration kMaxViewAge = 2s;
/// Additional wait before a grant after a crash, for backend servers that do not check grants: their router cancels what is in
/// flight when it finds its lease ended, which takes a tick and a closed connection.
constexpr Duration kUnfencedCrashWait = 250ms;
/// Interval of tick() on both sides.
constexpr Duration kOwnershipTick = 10ms;
/// Bound on the rate error of a monotonic clock against real time.
constexpr std::int64_t kClockDriftPpm = 1000;

/// Time that the holder may count on its own clock. Its clock may run slow by the drift bound; rounded down.
constexpr Duration holderLease(Duration ttl)
{
    return Duration(ttl.count() - ttl.count() * kClockDriftPpm / 1'000'000 - 1);
}

/// Time that the grantor must count on its own clock. Its clock may run fast by the drift bound; rounded up. Each side corrects
/// its own clock, so that the holder never counts more than @p ttl of real time and the grantor never less.
constexpr Duration grantorLease(Duration ttl)
{
    return Duration(ttl.count() + ttl.count() * kClockDriftPpm / 1'000'000 + 1);
}

} // namespace Toucandeck
