#include "routing/round_robin.h"

namespace Toucandeck
{

std::optional<std::size_t> RoundRobin::choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded)
{
    const auto eligible = eligibleCandidates(candidates, excluded);
    if (eligible.empty()) {
        return std::nullopt;
    }
    return eligible[m_next++ % eligible.size()];
}

RandomChoice::RandomChoice(RandomSource &random)
    : m_random(random)
{
}

std::optional<std::size_t> RandomChoice::choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded)
{
    const auto eligible = eligibleCandidates(candidates, excluded);
    if (eligible.empty()) {
        return std::nullopt;
    }
    return eligible[m_random.below(eligible.size())];
}

} // namespace Toucandeck
