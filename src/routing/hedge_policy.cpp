#include "routing/hedge_policy.h"

#include "routing/request_headers.h"

namespace Toucandeck
{

std::optional<Duration> NoHedge::hedgeDelay(std::string_view /*method*/)
{
    return std::nullopt;
}

bool NoHedge::tryStartHedge()
{
    return false;
}

void NoHedge::record(Duration /*latency*/)
{
}

QuantileHedge::QuantileHedge(const Clock &clock, HedgeOptions options)
    : m_options(options)
    , m_latency(clock, options.latencyWindow)
    , m_budget(options.budgetShare, options.budgetBurst)
{
}

std::optional<Duration> QuantileHedge::hedgeDelay(std::string_view method)
{
    m_budget.countRequest();
    if (!isIdempotent(method) || m_latency.count() < m_options.minAnswers) {
        return std::nullopt;
    }
    return m_latency.quantile(m_options.quantile);
}

bool QuantileHedge::tryStartHedge()
{
    return m_budget.tryAcquire();
}

void QuantileHedge::record(Duration latency)
{
    m_latency.record(latency);
}

const RetryBudget &QuantileHedge::budget() const
{
    return m_budget;
}

} // namespace Toucandeck
