#include "gateway/candidate_sample.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kMinSampledOthers = 3; ///< Minimum number of sampled gateways in other failure domains, if there are that many.

using Gateways = std::vector<const ListedGateway *>;

/// Moves @p n randomly drawn gateways to the start of [first, last).
void draw(Gateways::iterator first, Gateways::iterator last, std::size_t n, RandomSource &random)
{
    const auto size = static_cast<std::size_t>(last - first);
    for (std::size_t i = 0; i < std::min(n, size); ++i) {
        const auto other = i + static_cast<std::size_t>(random.below(size - i));
        std::iter_swap(first + static_cast<std::ptrdiff_t>(i), first + static_cast<std::ptrdiff_t>(other));
    }
}

} // namespace

std::vector<const ListedGateway *> sampleGateways(Gateways eligible, const std::string &ownDomain, RandomSource &random)
{
    if (eligible.size() <= kSampledGateways) {
        return eligible;
    }
    const auto middle
        = std::partition(eligible.begin(), eligible.end(), [&ownDomain](const auto *it) { return it->failureDomain == ownDomain; });
    const auto near = static_cast<std::size_t>(middle - eligible.begin());
    const auto far = eligible.size() - near;
    const auto fromFar = std::max(std::min(kMinSampledOthers, far), kSampledGateways - std::min(near, kSampledGateways));
    const auto fromNear = kSampledGateways - fromFar;
    draw(eligible.begin(), middle, fromNear, random);
    draw(middle, eligible.end(), fromFar, random);
    Gateways sample(eligible.begin(), eligible.begin() + static_cast<std::ptrdiff_t>(fromNear));
    sample.insert(sample.end(), middle, middle + static_cast<std::ptrdiff_t>(fromFar));
    return sample;
}

} // namespace Toucandeck
