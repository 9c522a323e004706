#include "manifest/weighted_round_robin.h"

#include <algorithm>

namespace Toucandeck
{

WeightedRoundRobin::WeightedRoundRobin(RandomSource &random)
    : m_random(random)
{
}

bool WeightedRoundRobin::matches(const Parts &parts, const std::vector<RouteTarget> &targets)
{
    return std::equal(
        parts.begin(), parts.end(), targets.begin(), targets.end(), [](const auto &a, const auto &b) { return a.service == b.service; });
}

WeightedRoundRobin::Parts WeightedRoundRobin::carryOver(Parts before, const std::vector<RouteTarget> &targets)
{
    Parts parts;
    for (const auto &target : targets) {
        const auto old = std::find_if(before.begin(), before.end(), [&target](const auto &it) { return it.service == target.service; });
        if (old == before.end()) {
            parts.push_back({ target.service, m_random.unit() });
        } else {
            parts.push_back(*old);
            before.erase(old); // A service may be a target more than once.
        }
    }
    return parts;
}

const std::string &WeightedRoundRobin::next(const Route &route)
{
    const auto &targets = route.targets;
    if (targets.size() == 1) {
        return targets.front().service;
    }
    auto &parts = m_parts[route.name];
    if (!matches(parts, targets)) {
        parts = carryOver(std::move(parts), targets);
    }
    std::uint64_t rest = 0; // Exact, so that the last target with a weight is always selected.
    for (const auto &it : targets) {
        rest += it.weight;
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (targets[i].weight == 0) {
            continue;
        }
        auto &phase = parts[i].phase;
        phase += static_cast<double>(targets[i].weight) / static_cast<double>(rest);
        if (phase >= 1) {
            phase -= 1;
            return targets[i].service;
        }
        rest -= targets[i].weight;
    }
    return targets.back().service;
}

void WeightedRoundRobin::retain(const Manifest &manifest)
{
    std::erase_if(m_parts, [&manifest](const auto &it) { return manifest.routes.count(it.first) == 0; });
}

std::size_t WeightedRoundRobin::size() const
{
    return m_parts.size();
}

} // namespace Toucandeck
