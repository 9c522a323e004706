// Guards against samples that favour some gateways beyond their weight or contain one twice.
#include "gateway/weighted_sample.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

using namespace Toucandeck;

TEST(WeightedSample, DrawsInProportionToTheWeights)
{
    SeededRandom random(1);
    const int draws = 10000;
    int second = 0;
    for (int i = 0; i < draws; ++i) {
        second += weightedSample({ 1, 3, 0 }, 1, random).front() == 1 ? 1 : 0;
    }
    EXPECT_NEAR(second, draws * 0.75, draws * 0.02);
}

TEST(WeightedSample, DrawsWeightZeroOnlyIfNothingElseIsLeft)
{
    SeededRandom random(1);
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(weightedSample({ 0, 2, 0 }, 2, random).front(), 1U);
    }
    EXPECT_EQ(weightedSample({ 0, 0 }, 2, random).size(), 2U);
}

TEST(WeightedSample, DrawsEachIndexAtMostOnceAndAsManyAsThereAre)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        SeededRandom random(seed);
        const auto n = static_cast<std::size_t>(random.below(20));
        std::vector<double> weights(static_cast<std::size_t>(random.below(20)));
        std::generate(weights.begin(), weights.end(), [&random] { return static_cast<double>(random.below(5)) / 10; });
        const auto sample = weightedSample(weights, n, random);
        EXPECT_EQ(sample.size(), std::min(n, weights.size())) << "seed " << seed;
        EXPECT_EQ(std::set<std::size_t>(sample.begin(), sample.end()).size(), sample.size()) << "seed " << seed;
    }
}
