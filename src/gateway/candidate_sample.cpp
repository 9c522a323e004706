#include "gateway/candidate_sample.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kSampledOthers = 3; ///< Of the sampled gateways, at least this many of other failure domains if there are any.

using Gateways = std::vector<const ListedGateway *>;

/// Moves @p n gateways drawn at random to the start of [first, last).
void draw(Gateways::iterator first, Gateways::iterator last, std::size_t n, RandomSource &random)
{
    const auto size = static_cast<std::size_t>(last - first);
    for (std::size_t i = 0; i < std::min(n, size); ++i) {
        const auto other = i + static_cast<std::size_t>(random.below(size - i));
        std::iter_swap(first + static_cast<std::ptrdiff_t>(i), first + static_cast<std::ptrdiff_t>(other));
    }
}

} // namespace

std::vector<const ListedGateway *> sampleGateways(Gateways open, const std::string &ownDomain, RandomSource &random)
{
    if (open.size() <= kSampledGateways) {
        return open;
    }
    const auto middle = std::partition(open.begin(), open.end(), [&ownDomain](const auto *it) { return it->failureDomain == ownDomain; });
    const auto near = static_cast<std::size_t>(middle - open.begin());
    const auto far = open.size() - near;
    const auto fromFar = std::max(std::min(kSampledOthers, far), kSampledGateways - std::min(near, kSampledGateways));
    const auto fromNear = kSampledGateways - fromFar;
    draw(open.begin(), middle, fromNear, random);
    draw(middle, open.end(), fromFar, random);
    Gateways sample(open.begin(), open.begin() + static_cast<std::ptrdiff_t>(fromNear));
    sample.insert(sample.end(), middle, middle + static_cast<std::ptrdiff_t>(fromFar));
    return sample;
}

} // namespace Toucandeck
