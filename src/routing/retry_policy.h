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
    unsigned attempt = 0; ///< Number at this router, from 0.
    bool receivedAsRetry = false; ///< An earlier hop already retried: ForwardRequest.attempt was above 0.
    TimePoint deadline;
    Duration retryAfter{}; ///< Advice of the refusing router; zero if none.
};

/// Strategy for repeating failed attempts.
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    /// A request arrived; call once for each.
    virtual void countRequest() = 0;

    /// Time to wait before the next attempt; nothing if there is none. A granted retry is charged to the budget.
    virtual std::optional<Duration> retryDelay(const FailedAttempt &attempt) = 0;
};

/// Never retries: the naive strategy.
class NoRetry : public RetryPolicy
{
public:
    void countRequest() override;
    std::optional<Duration> retryDelay(const FailedAttempt &attempt) override;
};

struct RetryOptions
{
    double share = 0.1; ///< Of requests.
    double burst = 10; ///< Retries saved up at most.
    double initial = 1; ///< Lets the first request of an idle router be retried.
    unsigned mostAttempts = 3;
    Duration firstDelay = std::chrono::milliseconds(5); ///< Doubles with each attempt; half of it is jitter.
};

/// Retries what did not run, and idempotent methods that may have run, within the budget and the deadline.
class VerdictRetry : public RetryPolicy
{
public:
    VerdictRetry(const Clock &clock, RandomSource &random, RetryOptions options = {});

    void countRequest() override;
    std::optional<Duration> retryDelay(const FailedAttempt &attempt) override;
    const RetryBudget &budget() const;

private:
    Duration delayBefore(unsigned attempt);

    const Clock &m_clock;
    RandomSource &m_random;
    RetryOptions m_options;
    RetryBudget m_budget;
};

} // namespace Toucandeck
