// Guards against backend servers that are starved or flooded because of wrong reports, and against calls that are redirected in vain.
#include "gateway/capacity_weight.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

GatewayCandidate candidate(double pending = 0)
{
    GatewayCandidate it;
    it.slots = 10;
    it.pending = pending;
    it.serviceTime = milliseconds(100);
    return it;
}

} // namespace

TEST(CapacityWeight, IsInProportionToSlotsAndSpeedWithinBounds)
{
    auto it = candidate();
    it.relativeSpeed = 1.5;
    EXPECT_DOUBLE_EQ(capacityWeight(it), 15);
    it.relativeSpeed = 1000;
    EXPECT_DOUBLE_EQ(capacityWeight(it), 40);
    it.relativeSpeed = 0;
    EXPECT_DOUBLE_EQ(capacityWeight(it), 2.5);
}

TEST(CapacityWeight, IsZeroForColdAndSuspectGateways)
{
    auto cold = candidate();
    cold.cold = true;
    auto suspect = candidate();
    suspect.suspect = true;
    EXPECT_EQ(capacityWeight(cold), 0);
    EXPECT_EQ(capacityWeight(suspect), 0);
}

// Failure: with a fixed preference, the backend servers of a busy failure domain get all calls of that domain.
TEST(CapacityWeight, PrefersTheOwnFailureDomainWhileItHasRoom)
{
    auto idle = candidate();
    idle.sameDomain = true;
    auto full = candidate(10);
    full.sameDomain = true;
    EXPECT_GT(capacityWeight(idle), 2 * capacityWeight(candidate()));
    EXPECT_DOUBLE_EQ(capacityWeight(full), capacityWeight(candidate(10)));
}

TEST(CapacityWeight, DecreasesWithACongestedLink)
{
    auto it = candidate();
    it.transitTime = milliseconds(500);
    EXPECT_LT(capacityWeight(it), capacityWeight(candidate()) / 5);
}

TEST(LongestUsefulWait, IsTheAdvantageOverTheNextBestAndTheDetour)
{
    // The other one has five calls in its queue, each of a tenth of the service time.
    const auto wait = longestUsefulWait({ candidate(), candidate(14) }, 0, 0);
    EXPECT_GE(wait, milliseconds(50));
    EXPECT_LE(wait, milliseconds(150));
}

TEST(LongestUsefulWait, IsLongerForLargeBodies)
{
    const std::vector<GatewayCandidate> candidates{ candidate(), candidate() };
    EXPECT_EQ(longestUsefulWait(candidates, 0, 500'000) - longestUsefulWait(candidates, 0, 0), milliseconds(1000));
}

TEST(LongestUsefulWait, IsBoundedWithoutAnotherCandidate)
{
    EXPECT_EQ(longestUsefulWait({ candidate() }, 0, 0), std::chrono::seconds(60));
}
