#pragma once

#include "routing/retry_budget.h"

#include "common/latency_window.h"

#include <optional>
#include <string_view>

namespace Toucandeck
{

/// Strategy for sending a second attempt to another instance while the first one is slow.
class HedgePolicy
{
public:
    virtual ~HedgePolicy() = default;

    /// Counts a new request; call once for each. Returns the delay after which to call tryStartHedge(); nothing if the request must
    /// not be hedged.
    virtual std::optional<Duration> hedgeDelay(std::string_view method) = 0;

    /// Call when the delay has passed without an answer. Returns true if the second attempt must be sent; it is then charged to the
    /// budget.
    virtual bool tryStartHedge() = 0;

    /// Records the time from sending an attempt to its answer or, for a cancelled attempt, to the cancellation.
    virtual void record(Duration latency) = 0;
};

/// Never hedges; the baseline for comparisons.
class NoHedge : public HedgePolicy
{
public:
    std::optional<Duration> hedgeDelay(std::string_view method) override;
    bool tryStartHedge() override;
    void record(Duration latency) override;
};

struct HedgeOptions
{
    /// Quantile of recent latency after which the second attempt is sent. At 0.95 more requests are slow than the budget allows to
    /// hedge, and it is often used up when the slowest ones need it: p99.9 with stragglers is 52 ms instead of 36 ms
    /// (docs/policies.md).
    double quantile = 0.99;
    double budgetShare = 0.03; ///< Extra attempts per request.
    double budgetBurst = 5; ///< Maximum number of extra attempts saved up.
    std::size_t minAnswers = 50; ///< With fewer recent answers the quantile is unreliable and nothing is hedged.
    Duration latencyWindow = std::chrono::seconds(5); ///< Time window of the quantile.
};

/// Hedges idempotent requests that are slower than a quantile of recent ones.
class QuantileHedge : public HedgePolicy
{
public:
    explicit QuantileHedge(const Clock &clock, HedgeOptions options = {});

    std::optional<Duration> hedgeDelay(std::string_view method) override;
    bool tryStartHedge() override;
    void record(Duration latency) override;
    const RetryBudget &budget() const;

private:
    HedgeOptions m_options;
    LatencyWindow m_latency;
    RetryBudget m_budget;
};

} // namespace Toucandeck
