#include "gateway/weighted_sample.h"

#include <algorithm>
#include <numeric>

namespace Toucandeck
{

namespace
{

/// Weight that marks an index as drawn.
constexpr double kDrawn = -1;

std::size_t drawOne(const std::vector<double> &weights, double total, RandomSource &random)
{
    double left = random.unit() * total;
    std::size_t last = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (weights[i] <= 0) {
            continue;
        }
        last = i;
        left -= weights[i];
        if (left < 0) {
            return i;
        }
    }
    return last; // Rounding can leave a small rest.
}

} // namespace

std::vector<std::size_t> weightedSample(std::vector<double> weights, std::size_t n, RandomSource &random)
{
    std::vector<std::size_t> sample;
    while (sample.size() < std::min(n, weights.size())) {
        double total = 0;
        for (const auto it : weights) {
            total += std::max(it, 0.0);
        }
        if (total <= 0) {
            // Only indexes of weight zero are left: they are equally likely.
            std::transform(weights.begin(), weights.end(), weights.begin(), [](double it) { return it == kDrawn ? kDrawn : 1; });
            continue;
        }
        const auto index = drawOne(weights, total, random);
        weights[index] = kDrawn;
        sample.push_back(index);
    }
    return sample;
}

} // namespace Toucandeck
