#pragma once

#include <cstdint>

namespace Toucandeck
{

/// Token bucket that limits extra attempts to a share of the requests, plus a small number at the start.
class RetryBudget
{
public:
    /// @param share is the number of extra attempts per request, from 0 to 1.
    /// @param burst is the maximum number of extra attempts saved up, at least 1.
    /// @param initial is the number of extra attempts allowed before any request, at most @p burst.
    RetryBudget(double share, double burst, double initial = 0);

    /// Counts the first attempt of a request.
    void countRequest();

    /// Charges one extra attempt to the budget; false if the budget is used up.
    bool tryAcquire();

    std::uint64_t requestCount() const;
    std::uint64_t acquiredCount() const; ///< Extra attempts charged so far.

private:
    double m_share;
    double m_maxTokens;
    double m_initialTokens;
    double m_tokens;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_acquiredCount = 0;
};

} // namespace Toucandeck
