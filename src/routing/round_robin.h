#pragma once

#include "routing/instance_chooser.h"

namespace Toucandeck
{

/// Each instance in turn, whatever its load.
class RoundRobin : public InstanceChooser
{
public:
    std::optional<std::size_t> choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded = {}) override;

private:
    std::size_t m_next = 0;
};

/// Any instance at random: the naive strategy.
class RandomChoice : public InstanceChooser
{
public:
    explicit RandomChoice(RandomSource &random);
    std::optional<std::size_t> choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded = {}) override;

private:
    RandomSource &m_random;
};

} // namespace Toucandeck
