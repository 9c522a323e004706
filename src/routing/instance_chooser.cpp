#include "routing/instance_chooser.h"

namespace Toucandeck
{

std::vector<std::size_t> eligibleCandidates(std::span<const Candidate> candidates, std::optional<std::size_t> excluded)
{
    std::vector<std::size_t> healthy;
    std::vector<std::size_t> others;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto &it = candidates[n];
        if (!it.serving || it.weight == 0 || n == excluded) {
            continue;
        }
        (it.onProbation ? others : healthy).push_back(n);
    }
    return healthy.empty() ? others : healthy;
}

} // namespace Toucandeck
