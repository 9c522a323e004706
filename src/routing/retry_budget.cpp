#include "routing/retry_budget.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

RetryBudget::RetryBudget(double share, double burst, double initial)
    : m_share(share)
    , m_maxTokens(burst)
    , m_initialTokens(initial)
    , m_tokens(initial)
{
    TOUCANDECK_ASSERT(share >= 0 && share <= 1 && burst >= 1 && initial >= 0 && initial <= burst,
                      "share, burst and initial are within their ranges");
}

void RetryBudget::countRequest()
{
    ++m_requestCount;
    m_tokens = std::min(m_tokens + m_share, m_maxTokens);
}

bool RetryBudget::tryAcquire()
{
    constexpr double kRounding = 1e-9; // ten times 0.1 is slightly below 1
    if (m_tokens < 1 - kRounding) {
        return false;
    }
    m_tokens = std::max(m_tokens - 1, 0.0);
    ++m_acquiredCount;
    const auto bound = m_share * static_cast<double>(m_requestCount) + m_initialTokens;
    TOUCANDECK_ASSERT(static_cast<double>(m_acquiredCount) <= bound + 1e-6 * (1 + bound), "the budget is never exceeded");
    return true;
}

std::uint64_t RetryBudget::requestCount() const
{
    return m_requestCount;
}

std::uint64_t RetryBudget::acquiredCount() const
{
    return m_acquiredCount;
}

} // namespace Toucandeck
