#pragma once

#include <cstdint>

namespace Toucandeck
{

/// Allows extra attempts up to a share of the requests, plus a small number at the start.
class RetryBudget
{
public:
    /// @param share of requests, from 0 to 1; @param burst is the most attempts that can be saved up, at least 1;
    /// @param initial attempts are allowed before any request.
    RetryBudget(double share, double burst, double initial = 0);

    /// A first attempt was made.
    void countRequest();

    /// Takes one extra attempt: false if the budget is used up.
    bool take();

    std::uint64_t requests() const;
    std::uint64_t taken() const;

private:
    double m_share;
    double m_burst;
    double m_initial;
    double m_saved;
    std::uint64_t m_requests = 0;
    std::uint64_t m_taken = 0;
};

} // namespace Toucandeck
