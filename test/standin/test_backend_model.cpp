// Guards against a stand-in that is more lenient than the backend servers it stands for.
#include "backend_model.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::Standin;
using namespace std::chrono_literals;

namespace
{

struct Fixture
{
    ManualClock clock;
    SeededRandom random{ 7 };

    BackendModel model(BackendOptions options)
    {
        return BackendModel(options, clock, random);
    }
};

} // namespace

TEST(BackendModel, ShedsAboveItsSlots)
{
    Fixture fixture;
    auto model = fixture.model({ .slots = 2 });
    EXPECT_EQ(model.begin({}), BackendDecision::Run);
    EXPECT_EQ(model.begin({}), BackendDecision::Run);
    EXPECT_EQ(model.begin({}), BackendDecision::Shed);
    model.end();
    EXPECT_EQ(model.begin({}), BackendDecision::Run);
}

TEST(BackendModel, ColdServerBearsLittleAndWarmsUp)
{
    Fixture fixture;
    auto model = fixture.model({ .slots = 9, .coldSlots = 2, .warmUp = 2s, .startsCold = true });
    EXPECT_EQ(model.bearable(), 2U);
    fixture.clock.advance(1s);
    EXPECT_EQ(model.bearable(), 5U);
    fixture.clock.advance(1s);
    EXPECT_EQ(model.bearable(), 9U);
    model.turnCold();
    EXPECT_EQ(model.bearable(), 2U);
}

TEST(BackendModel, RefusesOlderEpochAndEndedGrant)
{
    Fixture fixture;
    auto model = fixture.model({});
    const auto until = fixture.clock.now() + 100ms;
    EXPECT_EQ(model.begin({ .partition = 3, .epoch = 5, .grantUntil = until }), BackendDecision::Run);
    EXPECT_EQ(model.begin({ .partition = 3, .epoch = 4, .grantUntil = until }), BackendDecision::StaleGrant);
    EXPECT_EQ(model.begin({ .partition = 4, .epoch = 4, .grantUntil = until }), BackendDecision::Run);
    fixture.clock.advance(100ms);
    EXPECT_EQ(model.begin({ .partition = 3, .epoch = 5, .grantUntil = until }), BackendDecision::StaleGrant);
}

TEST(BackendModel, ServerWithoutGrantChecksAcceptsAnyEpoch)
{
    Fixture fixture;
    auto model = fixture.model({ .fenced = false });
    EXPECT_EQ(model.begin({ .partition = 3, .epoch = 5 }), BackendDecision::Run);
    EXPECT_EQ(model.begin({ .partition = 3, .epoch = 4 }), BackendDecision::Run);
}
