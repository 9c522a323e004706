#include "routing/retry_budget.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

RetryBudget::RetryBudget(double share, double burst, double initial)
    : m_share(share)
    , m_burst(burst)
    , m_initial(initial)
    , m_saved(initial)
{
    TOUCANDECK_ASSERT(share >= 0 && share <= 1 && burst >= 1 && initial >= 0 && initial <= burst, "a budget is a share of the requests");
}

void RetryBudget::countRequest()
{
    ++m_requests;
    m_saved = std::min(m_saved + m_share, m_burst);
}

bool RetryBudget::take()
{
    constexpr double kRounding = 1e-9; // ten times 0.1 is slightly below 1
    if (m_saved < 1 - kRounding) {
        return false;
    }
    m_saved = std::max(m_saved - 1, 0.0);
    ++m_taken;
    const auto bound = m_share * static_cast<double>(m_requests) + m_initial;
    TOUCANDECK_ASSERT(static_cast<double>(m_taken) <= bound + 1e-6 * (1 + bound), "the budget is never exceeded");
    return true;
}

std::uint64_t RetryBudget::requests() const
{
    return m_requests;
}

std::uint64_t RetryBudget::taken() const
{
    return m_taken;
}

} // namespace Toucandeck
