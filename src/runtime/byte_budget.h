#pragma once

#include <cstddef>

namespace Toucandeck::internal
{

/// Limit on the bytes that several users hold together.
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// Takes @p n bytes; false, and nothing is taken, if the limit would be exceeded.
    bool take(std::size_t n)
    {
        if (n > m_limit - m_taken) {
            return false;
        }
        m_taken += n;
        return true;
    }

    /// Returns bytes that were taken.
    void release(std::size_t n)
    {
        m_taken -= n;
    }

private:
    std::size_t m_limit;
    std::size_t m_taken = 0;
};

} // namespace Toucandeck::internal
