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
    const auto isSameDomain = [&candidates](std::size_t it) { return candidates[it].sameDomain; };
    const auto sameDomainCount
        = static_cast<std::size_t>(std::partition(eligible.begin(), eligible.end(), isSameDomain) - eligible.begin());
    const auto firstIndex = m_random.below(sameDomainCount > 0 ? sameDomainCount : eligible.size());
    const auto first = eligible[firstIndex];
    if (eligible.size() == 1) {
        return first;
    }
    std::swap(eligible[firstIndex], eligible.back());
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
        reported = std::min(m_options.reportWeight * freshness * load, m_options.maxReportRatio * own);
    }
    const auto latency = candidate.recentLatency > Duration::zero() ? candidate.recentLatency : m_options.defaultLatency;
    const auto seconds = std::chrono::duration<double>(latency).count() * (own + reported) / std::max(candidate.weight, 1U);
    return seconds + (candidate.sameDomain ? 0 : std::chrono::duration<double>(m_options.crossDomainPenalty).count());
}

} // namespace Toucandeck
