#pragma once

#include "common/ids.h"

#include <cstdint>
#include <vector>

namespace Toucandeck::OwnershipBench
{

/// Load of a deployment: many keys with equal load, and a few hot ones.
struct WorkloadShape
{
    std::uint32_t instances;
    std::uint32_t partitions;
    std::uint32_t coldKeys;
    std::uint32_t hotKeys;
    double requestsPerSecond; ///< Of all instances together.
    double hotMin; ///< Requests per second of the least loaded hot key.
    double hotMax;
};

/// Cluefire's clue-svc: 6 instances. The rates are assumptions; the design gives none for it.
constexpr WorkloadShape kCluefire{ 6, 256, 20'000, 16, 3'000, 50, 200 };
/// Design size: 580 nodes, 1.4 million requests/s, 16 hottest keys, each between a third and two thirds of an instance's mean load
/// (an assumption). 2 million keys stand for the 570 million: more keys only make the rest more even. 28 partitions per instance.
constexpr WorkloadShape kDesignSize{ 580, 16'384, 2'000'000, 16, 1'400'000, 800, 1'600 };

struct KeyLoad
{
    KeyHash key;
    double rate;
};

/// All keys of one draw; the hot ones come first.
std::vector<KeyLoad> drawKeys(const WorkloadShape &shape, std::uint64_t seed);

/// Maximum over mean load with bounded load and hot key overrides, after a minute of reports.
double imbalanceOurs(const WorkloadShape &shape, const std::vector<KeyLoad> &keys);

/// The same with key hash modulo instances.
double imbalanceNaive(const WorkloadShape &shape, const std::vector<KeyLoad> &keys);

} // namespace Toucandeck::OwnershipBench
