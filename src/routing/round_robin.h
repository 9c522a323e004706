#pragma once

#include "routing/instance_chooser.h"

namespace Toucandeck
{

/// Chooses each instance in turn, regardless of its load.
class RoundRobin : public InstanceChooser
{
public:
    std::optional<std::size_t> choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded = {}) override;

private:
    std::size_t m_next = 0;
};

/// Chooses a random instance; the baseline for comparisons.
class RandomChoice : public InstanceChooser
{
public:
    explicit RandomChoice(RandomSource &random);
    std::optional<std::size_t> choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded = {}) override;

private:
    RandomSource &m_random;
};

} // namespace Toucandeck
