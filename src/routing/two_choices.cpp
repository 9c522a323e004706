#include "routing/two_choices.h"

#include <algorithm>

namespace Toucandeck
{

TwoChoices::TwoChoices(RandomSource &random, TwoChoicesOptions options)
    : m_random(random)
    , m_options(options)
{
}

std::optional<std::size_t> TwoChoices::choose(std::span<const Candidate> candidates, std::optional<std::size_t> excluded)
{
    auto eligible = eligibleCandidates(candidates, excluded);
    if (eligible.empty()) {
        return std::nullopt;
    }
    const auto isNear = [&candidates](std::size_t it) { return candidates[it].sameDomain; };
    const auto nearCount = static_cast<std::size_t>(std::partition(eligible.begin(), eligible.end(), isNear) - eligible.begin());
    const auto firstPlace = m_random.below(nearCount > 0 ? nearCount : eligible.size());
    const auto first = eligible[firstPlace];
    if (eligible.size() == 1) {
        return first;
    }
    std::swap(eligible[firstPlace], eligible.back());
    const auto second = eligible[m_random.below(eligible.size() - 1)];
    return cost(candidates[second]) < cost(candidates[first]) ? second : first;
}

double TwoChoices::cost(const Candidate &candidate) const
{
    const auto own = static_cast<double>(candidate.inFlight) + 1;
    double reported = 0;
    if (candidate.report && candidate.report->age < m_options.reportLifetime) {
        const auto age = std::max(candidate.report->age, Duration::zero());
        const auto freshness = 1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(m_options.reportLifetime);
        const auto load = static_cast<double>(candidate.report->inFlight + candidate.report->queued);
        reported = std::min(m_options.reportShare * freshness * load, m_options.reportBound * own);
    }
    const auto latency = candidate.recentLatency > Duration::zero() ? candidate.recentLatency : m_options.unknownLatency;
    const auto seconds = std::chrono::duration<double>(latency).count() * (own + reported) / std::max(candidate.weight, 1U);
    return seconds + (candidate.sameDomain ? 0 : std::chrono::duration<double>(m_options.domainPenalty).count());
}

} // namespace Toucandeck
