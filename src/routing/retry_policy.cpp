#include "routing/retry_policy.h"

#include "routing/request_headers.h"

#include <algorithm>

namespace Toucandeck
{

void NoRetry::countRequest()
{
}

std::optional<Duration> NoRetry::retryDelay(const FailedAttempt & /*attempt*/)
{
    return std::nullopt;
}

VerdictRetry::VerdictRetry(const Clock &clock, RandomSource &random, RetryOptions options)
    : m_clock(clock)
    , m_random(random)
    , m_options(options)
    , m_budget(options.budgetShare, options.budgetBurst, options.initialBudget)
{
}

void VerdictRetry::countRequest()
{
    m_budget.countRequest();
}

std::optional<Duration> VerdictRetry::retryDelay(const FailedAttempt &attempt)
{
    const bool mayRunAgain = attempt.verdict == Verdict::NotRun || (attempt.verdict == Verdict::MayHaveRun && isIdempotent(attempt.method));
    if (!mayRunAgain || attempt.isForwardedRetry || attempt.attemptIndex + 1 >= m_options.maxAttempts) {
        return std::nullopt;
    }
    const auto delay = backoffDelay(attempt.attemptIndex + 1);
    if (m_clock.now() + delay >= attempt.deadline || !m_budget.tryAcquire()) {
        return std::nullopt;
    }
    return delay;
}

Duration VerdictRetry::backoffDelay(unsigned attempt)
{
    const auto longest = m_options.initialDelay * (1 << (attempt - 1));
    return std::chrono::duration_cast<Duration>(longest * (0.5 + 0.5 * m_random.unit()));
}

const RetryBudget &VerdictRetry::budget() const
{
    return m_budget;
}

} // namespace Toucandeck
