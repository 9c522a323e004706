#include "common/random_source.h"

#include "common/assert.h"

namespace Toucandeck
{

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    TOUCANDECK_ASSERT(bound > 0, "an empty range has no values");
    return next() % bound;
}

double RandomSource::unit()
{
    constexpr int kMantissaBits = 53;
    return static_cast<double>(next() >> (64 - kMantissaBits)) / static_cast<double>(1ULL << kMantissaBits);
}

SeededRandom::SeededRandom(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t SeededRandom::next()
{
    return m_engine();
}

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace Toucandeck
