// Benchmarks of placement: ownership_churn and load_imbalance, against key hash modulo instances. Each figure is the median over
// the seeds.
#include "ownership/bounded_load.h"
#include "ownership/deployment.h"
#include "ownership/hash_modulo.h"
#include "ownership/workload.h"

#include "common/random_source.h"

#include <algorithm>
#include <fmt/core.h>

using namespace Toucandeck;
using namespace Toucandeck::OwnershipBench;

namespace
{

constexpr std::uint64_t kRuns = 7;
constexpr int kEvents = 40;
constexpr std::size_t kFewestInstances = 3;
constexpr std::size_t kMostInstances = 9;

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Instances join and leave at Cluefire's size. Returns the ratio of partitions moved to the minimum.
double churn(const Placement &placement, std::uint64_t seed)
{
    SeededRandom random(seed);
    Deployment deployment(placement, kCluefire.instances, kCluefire.partitions);
    for (int i = 0; i < kEvents; ++i) {
        const auto n = deployment.instances();
        const bool joins = n <= kFewestInstances || (n < kMostInstances && random.below(2) == 0);
        if (joins) {
            deployment.join();
        } else {
            deployment.leave(random.below(n));
        }
    }
    return static_cast<double>(deployment.moved()) / static_cast<double>(deployment.leastMoves());
}

template<class Ours, class Naive>
void print(const char *name, Ours ours, Naive naive)
{
    std::vector<double> oursAll;
    std::vector<double> naiveAll;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
        oursAll.push_back(ours(seed));
        naiveAll.push_back(naive(seed));
    }
    fmt::print("{} ours={:.3f} naive={:.3f} unit=ratio n={}\n", name, median(oursAll), median(naiveAll), kRuns);
}

void printImbalance(const char *name, const WorkloadShape &shape)
{
    print(
        name,
        [&shape](std::uint64_t seed) { return imbalanceOurs(shape, drawKeys(shape, seed)); },
        [&shape](std::uint64_t seed) { return imbalanceNaive(shape, drawKeys(shape, seed)); });
}

} // namespace

int main()
{
    print(
        "ownership_churn",
        [](std::uint64_t seed) { return churn(BoundedLoadPlacement(), seed); },
        [](std::uint64_t seed) { return churn(HashModuloPlacement(), seed); });
    printImbalance("load_imbalance", kCluefire);
    printImbalance("load_imbalance_design_size", kDesignSize);
    return 0;
}
