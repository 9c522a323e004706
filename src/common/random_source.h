#pragma once

#include <cstdint>
#include <random>

namespace Toucandeck
{

/// Source of random numbers. Decision logic takes it as a parameter so that tests fix the seed.
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /// Uniform over all 64-bit values.
    virtual std::uint64_t next() = 0;

    /// Uniform over [0, bound). @p bound must be positive.
    std::uint64_t below(std::uint64_t bound);

    /// Uniform over [0, 1).
    double unit();
};

/// Mersenne Twister with a given seed.
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/// Seed drawn from the operating system, for daemons.
std::uint64_t systemSeed();

} // namespace Toucandeck
