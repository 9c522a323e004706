// Guards against load that stays in a busy failure domain, and against needless traffic between failure domains.
#include "gateway/candidate_sample.h"

#include "common/random_source.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Toucandeck;

namespace
{

std::vector<ListedGateway> gateways(std::size_t near, std::size_t far)
{
    std::vector<ListedGateway> all;
    for (std::size_t i = 0; i < near + far; ++i) {
        ListedGateway it;
        it.ip = std::to_string(i);
        it.failureDomain = i < near ? "here" : "there";
        all.push_back(it);
    }
    return all;
}

std::vector<const ListedGateway *> pointers(const std::vector<ListedGateway> &all)
{
    std::vector<const ListedGateway *> out;
    out.reserve(all.size());
    for (const auto &it : all) {
        out.push_back(&it);
    }
    return out;
}

} // namespace

TEST(CandidateSample, ComparesAllOfASmallService)
{
    SeededRandom random(1);
    const auto all = gateways(1, 3);
    EXPECT_EQ(sampleGateways(pointers(all), "here", random).size(), 4U);
}

TEST(CandidateSample, IsMostlyOfTheOwnFailureDomainButNotOnly)
{
    SeededRandom random(1);
    const auto all = gateways(12, 34);
    const auto sample = sampleGateways(pointers(all), "here", random);
    const auto near = std::count_if(sample.begin(), sample.end(), [](const auto *it) { return it->failureDomain == "here"; });
    EXPECT_EQ(sample.size(), kSampledGateways);
    EXPECT_EQ(near, 5);
}

TEST(CandidateSample, ReachesEachGateway)
{
    SeededRandom random(1);
    const auto all = gateways(12, 34);
    std::set<std::string> seen;
    for (int i = 0; i < 400; ++i) {
        for (const auto *it : sampleGateways(pointers(all), "here", random)) {
            seen.insert(it->ip);
        }
    }
    EXPECT_EQ(seen.size(), all.size());
}

RC_GTEST_PROP(CandidateSample, NamesEachGatewayOnceAndAsManyAsThereAre, ())
{
    SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
    const auto all = gateways(*rc::gen::inRange<std::size_t>(0, 20), *rc::gen::inRange<std::size_t>(0, 20));
    const auto sample = sampleGateways(pointers(all), "here", random);
    std::set<std::string> names;
    for (const auto *it : sample) {
        names.insert(it->ip);
    }
    RC_ASSERT(names.size() == sample.size());
    RC_ASSERT(sample.size() == std::min(all.size(), kSampledGateways));
}
