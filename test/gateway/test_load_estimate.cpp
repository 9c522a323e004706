// Guards against backend servers that count as idle, since no recent report of their load is known.
#include "gateway/load_estimate.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

KnownLoad load(Duration age)
{
    KnownLoad it;
    it.reportedCalls = 20;
    it.usualCalls = 10;
    it.age = age;
    it.serviceTime = milliseconds(200);
    return it;
}

} // namespace

TEST(LoadEstimate, IsTheReportAtFirstAndTheUsualNumberLater)
{
    EXPECT_DOUBLE_EQ(expectedCalls(load({})), 20);
    EXPECT_NEAR(expectedCalls(load(milliseconds(200))), 10 + 10 / 2.718, 0.01);
    EXPECT_NEAR(expectedCalls(load(std::chrono::seconds(10))), 10, 0.001);
}

TEST(LoadEstimate, WithoutAnyReportIsTheUsualNumber)
{
    EXPECT_DOUBLE_EQ(expectedCalls(load(Duration::max())), 10);
}

TEST(LoadEstimate, IsAtLeastTheOwnCalls)
{
    auto it = load(Duration::max());
    it.ownCalls = 30;
    EXPECT_DOUBLE_EQ(expectedCalls(it), 30);
}

// Failure: a service time that is not known yet made each report worthless at once.
TEST(LoadEstimate, KeepsAReportForSomeTimeIfTheServiceTimeIsUnknown)
{
    auto it = load(milliseconds(5));
    it.serviceTime = {};
    EXPECT_GT(expectedCalls(it), 18);
}

TEST(LoadEstimate, AReportOfTheFutureWeighsAsANewOne)
{
    EXPECT_DOUBLE_EQ(reportWeight(-milliseconds(5), milliseconds(100)), 1);
}
