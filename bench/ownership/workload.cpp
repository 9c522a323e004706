#include "ownership/workload.h"

#include "common/clock.h"
#include "common/key_hash.h"
#include "common/random_source.h"
#include "ownership/bounded_load.h"
#include "ownership/deployment.h"
#include "ownership/hot_key_planner.h"

#include <algorithm>
#include <numeric>

namespace Toucandeck::OwnershipBench
{

namespace
{

/// Utilisation at which the mean instance runs.
constexpr double kMeanPermille = 600;
constexpr int kSeconds = 60;

double maxOverMean(const std::vector<double> &loads)
{
    const auto sum = std::accumulate(loads.begin(), loads.end(), 0.0);
    return *std::max_element(loads.begin(), loads.end()) * static_cast<double>(loads.size()) / sum;
}

std::vector<InstanceLoad> reported(const std::vector<double> &loads)
{
    const auto mean = std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
    std::vector<InstanceLoad> reports;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        reports.push_back({ SessionId{ i + 1 }, static_cast<std::uint32_t>(loads[i] / mean * kMeanPermille), true });
    }
    return reports;
}

} // namespace

std::vector<KeyLoad> drawKeys(const WorkloadShape &shape, std::uint64_t seed)
{
    SeededRandom random(seed);
    std::vector<KeyLoad> keys;
    double hot = 0;
    for (std::uint32_t i = 0; i < shape.hotKeys; ++i) {
        keys.push_back({ KeyHash{ random.next() }, shape.hotMin + random.unit() * (shape.hotMax - shape.hotMin) });
        hot += keys.back().rate;
    }
    const double cold = (shape.requestsPerSecond - hot) / shape.coldKeys;
    for (std::uint32_t i = 0; i < shape.coldKeys; ++i) {
        keys.push_back({ KeyHash{ random.next() }, cold });
    }
    return keys;
}

double imbalanceOurs(const WorkloadShape &shape, const std::vector<KeyLoad> &keys)
{
    const BoundedLoadPlacement placement;
    const Deployment deployment(placement, shape.instances, shape.partitions);
    std::vector<std::size_t> ownerOfPartition;
    for (std::uint32_t i = 0; i < shape.partitions; ++i) {
        ownerOfPartition.push_back(deployment.ownerOf(i));
    }
    std::vector<double> loads(shape.instances);
    std::vector<HotKeyLoad> hot;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const auto home = ownerOfPartition[partitionOf(keys[i].key, shape.partitions).value];
        loads[home] += keys[i].rate;
        if (i < shape.hotKeys) {
            hot.push_back({ keys[i].key, keys[i].rate, SessionId{ home + 1 }, SessionId{ home + 1 }, false, false });
        }
    }
    ManualClock clock;
    HotKeyPlanner planner(clock);
    for (int i = 0; i < kSeconds; ++i) {
        if (const auto change = planner.plan(reported(loads), hot)) {
            auto &key = *std::find_if(hot.begin(), hot.end(), [&](const auto &it) { return it.key == change->key; });
            loads[key.owner.value - 1] -= key.rate;
            key.owner = change->to;
            key.hasOverride = key.owner != key.partitionOwner;
            loads[key.owner.value - 1] += key.rate;
        }
        clock.advance(std::chrono::seconds(1));
    }
    return maxOverMean(loads);
}

double imbalanceNaive(const WorkloadShape &shape, const std::vector<KeyLoad> &keys)
{
    std::vector<double> loads(shape.instances);
    for (const auto &it : keys) {
        loads[it.key.value % shape.instances] += it.rate;
    }
    return maxOverMean(loads);
}

} // namespace Toucandeck::OwnershipBench
