// Guards against a sudden hot key that is detected only seconds later, and against random variation that is reported as one.
#include "gateway/demand_sampler.h"

#include "common/random_source.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

/// Records @p perSecond requests for random keys of a range.
void play(
    DemandSampler &sampler, TimePoint &now, milliseconds time, double perSecond, std::uint32_t from, std::uint32_t n, RandomSource &random)
{
    for (int ms = 0; ms < time.count(); ++ms) {
        now += milliseconds(1);
        for (double left = perSecond / 1000; left > 0; left -= 1) {
            if (random.unit() < left) {
                sampler.record(from + static_cast<std::uint32_t>(random.below(n)), now);
            }
        }
    }
}

} // namespace

// Pattern: hot key. The demand at a holder of 1,400 keys suddenly grows to 400 requests per second for 200 of them.
TEST(DemandSampler, ReportsASurgeWithinHalfASecond)
{
    SeededRandom random(1);
    DemandSampler sampler;
    TimePoint now{};
    play(sampler, now, milliseconds(3000), 20, 0, 1400, random);
    EXPECT_FALSE(sampler.hasSurge(now));
    play(sampler, now, milliseconds(400), 400, 700, 200, random);
    EXPECT_TRUE(sampler.hasSurge(now));
    EXPECT_GE(sampler.rate(now), 250); // Over the whole window of two seconds the rate would be 100.
    const auto quantiles = sampler.quantileKeys(now);
    const auto hot = std::count_if(quantiles.begin(), quantiles.end(), [](auto key) { return key >= 700 && key < 900; });
    EXPECT_GE(hot, static_cast<std::ptrdiff_t>(quantiles.size() * 9 / 10));
}

TEST(DemandSampler, DoesNotReportRandomVariationAsASurge)
{
    SeededRandom random(2);
    DemandSampler sampler;
    TimePoint now{};
    play(sampler, now, milliseconds(3000), 20, 0, 1400, random);
    for (int i = 0; i < 100; ++i) {
        play(sampler, now, milliseconds(100), 20, 0, 1400, random);
        EXPECT_FALSE(sampler.hasSurge(now));
        EXPECT_NEAR(sampler.rate(now), 20, 12);
    }
}
