#pragma once

#include "routing/retry_budget.h"

#include "common/clock.h"
#include "common/random_source.h"
#include "common/verdict.h"

#include <optional>
#include <string_view>

namespace Toucandeck
{

/// An attempt that ended without an answer for the caller.
struct FailedAttempt
{
    Verdict verdict = Verdict::MayHaveRun;
    std::string_view method;
    unsigned attemptIndex = 0; ///< Number of earlier attempts at this router.
    bool isForwardedRetry = false; ///< The request arrived as a retry of an earlier hop: ForwardRequest.attempt was above 0.
    TimePoint deadline;
    Duration retryAfter{}; ///< Retry delay suggested by the refusing router; zero if none.
};

/// Strategy for retries of failed attempts.
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    /// Counts a new request; call once for each.
    virtual void countRequest() = 0;

    /// Returns the delay before the next attempt; nothing if the request must not be retried. A retry is charged to the budget.
    virtual std::optional<Duration> retryDelay(const FailedAttempt &attempt) = 0;
};

/// Never retries; the baseline for comparisons.
class NoRetry : public RetryPolicy
{
public:
    void countRequest() override;
    std::optional<Duration> retryDelay(const FailedAttempt &attempt) override;
};

struct RetryOptions
{
    double budgetShare = 0.1; ///< Retries per request.
    double budgetBurst = 10; ///< Maximum number of retries saved up.
    double initialBudget = 1; ///< Retries allowed before any request, so that the first request of an idle router can be retried.
    unsigned maxAttempts = 3;
    Duration initialDelay = std::chrono::milliseconds(5); ///< Longest first delay; doubles with each attempt, and half of it is jitter.
};

/// Retries requests that did not run, and idempotent ones that may have run, within the budget and the deadline.
class VerdictRetry : public RetryPolicy
{
public:
    VerdictRetry(const Clock &clock, RandomSource &random, RetryOptions options = {});

    void countRequest() override;
    std::optional<Duration> retryDelay(const FailedAttempt &attempt) override;
    const RetryBudget &budget() const;

private:
    Duration backoffDelay(unsigned attempt);

    const Clock &m_clock;
    RandomSource &m_random;
    RetryOptions m_options;
    RetryBudget m_budget;
};

} // namespace Toucandeck
