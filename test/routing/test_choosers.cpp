// Guards against requests for instances that are leaving or slow, and against load reports that outweigh the router's own counts.
#include "Toucandeck/Routing"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

std::vector<Candidate> fourInstances()
{
    std::vector<Candidate> candidates(4);
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        candidates[n].instance = n + 1;
        candidates[n].recentLatency = 5ms;
    }
    return candidates;
}

std::vector<unsigned> countChoices(InstanceChooser &chooser, const std::vector<Candidate> &candidates, int n = 4000)
{
    std::vector<unsigned> counts(candidates.size());
    for (int it = 0; it < n; ++it) {
        ++counts[*chooser.choose(candidates)];
    }
    return counts;
}

} // namespace

TEST(TwoChoices, SpreadsEvenlyAndAvoidsTheLoadedAndTheSlow)
{
    SeededRandom random(1);
    TwoChoices chooser(random);
    auto candidates = fourInstances();
    for (const auto it : countChoices(chooser, candidates)) {
        EXPECT_NEAR(it, 1000, 120);
    }
    candidates[0].inFlight = 9;
    candidates[1].recentLatency = 25ms;
    const auto counts = countChoices(chooser, candidates);
    EXPECT_EQ(counts[0], 0U);
    EXPECT_NEAR(counts[1], 667, 80); // chosen only when drawn together with the loaded one, in a sixth of the draws
}

TEST(TwoChoices, PrefersItsFailureDomainUntilThatIsLoaded)
{
    SeededRandom random(1);
    TwoChoices chooser(random);
    auto candidates = fourInstances();
    candidates[0].sameDomain = true;
    EXPECT_EQ(countChoices(chooser, candidates)[0], 4000U);
    candidates[0].inFlight = 5;
    EXPECT_EQ(countChoices(chooser, candidates)[0], 0U);
}

TEST(TwoChoices, WrongReportNeverOutweighsOwnRequests)
{
    SeededRandom random(1);
    const TwoChoices chooser(random);
    Candidate busy{ .recentLatency = 5ms };
    busy.inFlight = 7;
    Candidate misreported{ .recentLatency = 5ms };
    misreported.report = LoadReport{ 1000, 1000, 0ms };
    EXPECT_LT(chooser.cost(misreported), chooser.cost(busy));
    misreported.report->age = 500ms;
    EXPECT_DOUBLE_EQ(chooser.cost(misreported), chooser.cost(Candidate{ .recentLatency = 5ms }));
}

RC_GTEST_PROP(Choosers, NeverChooseWhatDoesNotServe, (std::uint64_t seed, const std::vector<std::uint8_t> &flags))
{
    SeededRandom random(seed);
    TwoChoices two(random);
    RoundRobin turns;
    RandomChoice any(random);
    std::vector<Candidate> candidates;
    candidates.reserve(flags.size());
    for (const auto it : flags) {
        candidates.push_back({ .weight = it & 1U, .sameDomain = (it & 2U) != 0, .serving = (it & 4U) != 0, .onProbation = (it & 8U) != 0 });
    }
    const bool healthy
        = std::any_of(candidates.begin(), candidates.end(), [](const auto &it) { return it.serving && it.weight > 0 && !it.onProbation; });
    for (InstanceChooser *chooser :
         { static_cast<InstanceChooser *>(&two), static_cast<InstanceChooser *>(&turns), static_cast<InstanceChooser *>(&any) }) {
        const auto first = chooser->choose(candidates);
        RC_ASSERT(first.has_value() == !eligibleCandidates(candidates, {}).empty());
        if (first) {
            RC_ASSERT(candidates[*first].serving && candidates[*first].weight > 0);
            RC_ASSERT(!healthy || !candidates[*first].onProbation);
            RC_ASSERT(chooser->choose(candidates, first) != first);
        }
    }
}

TEST(RoundRobin, TakesEachInTurn)
{
    RoundRobin chooser;
    for (const auto it : countChoices(chooser, fourInstances())) {
        EXPECT_EQ(it, 1000U);
    }
}

namespace
{

struct DetectorFixture
{
    DetectorFixture()
    {
        detector.setInstances(ids);
    }

    void answers(std::uint64_t instance, Duration latency, bool ok = true, int n = 9)
    {
        for (int it = 0; it < n; ++it) {
            detector.record(instance, latency, ok);
        }
    }

    ManualClock clock;
    RecordingLogger logger;
    OutlierDetector detector{ clock, logger };
    std::vector<std::uint64_t> ids{ 1, 2, 3, 4 };
};

} // namespace

TEST(OutlierDetector, PutsAStragglerOnProbationAndProbesIt)
{
    DetectorFixture it;
    for (const auto id : it.ids) {
        it.answers(id, 5ms);
    }
    it.answers(2, 25ms);
    EXPECT_TRUE(it.detector.isOnProbation(2));
    EXPECT_EQ(it.detector.takeProbe(), std::nullopt);
    it.clock.advance(1s);
    EXPECT_EQ(it.detector.takeProbe(), 2U);
    EXPECT_EQ(it.detector.takeProbe(), std::nullopt);
    it.answers(2, 25ms, true, 1);
    EXPECT_TRUE(it.detector.isOnProbation(2));
    it.answers(2, 6ms, true, 2);
    EXPECT_FALSE(it.detector.isOnProbation(2));
    EXPECT_EQ(it.logger.count(Events::kProbationEnded), 1);
}

TEST(OutlierDetector, NeverMoreThanAPart)
{
    DetectorFixture it;
    for (const auto id : it.ids) {
        it.answers(id, 5ms, false);
    }
    EXPECT_EQ(it.detector.probationCount(), 1U);
    const std::vector<std::uint64_t> two{ 1, 2 };
    it.detector.setInstances(two); // a third of two, rounded down, is zero
    EXPECT_EQ(it.detector.probationCount(), 0U);
    it.answers(1, 5ms, false);
    EXPECT_EQ(it.detector.probationCount(), 0U);
}

TEST(OutlierDetector, EvenSlownessIsNoOutlier)
{
    DetectorFixture it;
    for (int n = 0; n < 20; ++n) {
        for (const auto id : it.ids) {
            it.answers(id, n < 10 ? 5ms : 50ms, true, 1);
        }
    }
    EXPECT_EQ(it.detector.probationCount(), 0U);
}
