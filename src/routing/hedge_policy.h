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

    /// A request arrived; call once for each. Returns the time after which mayHedge() is asked; nothing for never.
    virtual std::optional<Duration> hedgeDelay(std::string_view method) = 0;

    /// The delay has passed without an answer. True: send the second attempt, which is charged to the budget.
    virtual bool mayHedge() = 0;

    /// An attempt was answered, @p latency after it was sent. Cancelled attempts are recorded with the time until then.
    virtual void record(Duration latency) = 0;
};

/// Never hedges: the naive strategy.
class NoHedge : public HedgePolicy
{
public:
    std::optional<Duration> hedgeDelay(std::string_view method) override;
    bool mayHedge() override;
    void record(Duration latency) override;
};

struct HedgeOptions
{
    /// Of recent latency, after which the second attempt is sent. At 0.95 more requests are slow than the budget allows to hedge,
    /// and the slowest ones often find it used up: p99.9 with stragglers 52 ms against 36 ms (docs/policies.md).
    double quantile = 0.99;
    double share = 0.03; ///< Extra attempts per request.
    double burst = 5; ///< Extra attempts saved up at most.
    std::size_t leastAnswers = 50; ///< Below this many recent answers the quantile says nothing; no hedging.
    Duration span = std::chrono::seconds(5); ///< Of recent latency.
};

/// Hedges idempotent requests that are slower than a quantile of recent ones.
class QuantileHedge : public HedgePolicy
{
public:
    explicit QuantileHedge(const Clock &clock, HedgeOptions options = {});

    std::optional<Duration> hedgeDelay(std::string_view method) override;
    bool mayHedge() override;
    void record(Duration latency) override;
    const RetryBudget &budget() const;

private:
    HedgeOptions m_options;
    LatencyWindow m_latency;
    RetryBudget m_budget;
};

} // namespace Toucandeck
