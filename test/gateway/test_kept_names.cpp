// Guards against the memory of a gateway growing with each name that a manifest ever contained.
#include "gateway/nested_call_gate.h"
#include "gateway/parent_times.h"
#include "gateway/reference_work.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

constexpr int kChanges = 5000;

std::string nameOf(int change)
{
    return "name-" + std::to_string(change);
}

/// Uses a new name with each change and keeps only the latest one.
template<class Kept, class Use>
void expectOneName(Kept &kept, Use use)
{
    for (int i = 0; i < kChanges; ++i) {
        use(nameOf(i));
        kept.retain([i](const std::string &name) { return name == nameOf(i); });
        ASSERT_EQ(kept.size(), 1U);
    }
}

} // namespace

TEST(KeptNames, ReferenceWorkForgetsServicesThatAreGone)
{
    ReferenceWork work;
    expectOneName(work, [&](const std::string &name) {
        Call call;
        call.service = name;
        work.record(call, milliseconds(10), TimePoint());
    });
}

TEST(KeptNames, ParentTimesForgetKindsThatAreGone)
{
    ParentTimes times;
    expectOneName(times, [&](const std::string &name) { times.record(name, 0, milliseconds(10)); });
}

// Failure: once 4,096 names had been used, requests of further kinds were not limited.
TEST(KeptNames, TheGateLimitsNewKindsAfterThousandsOfChanges)
{
    ManualClock clock;
    NestedCallGate gate(clock);
    expectOneName(gate, [&](const std::string &name) {
        EXPECT_TRUE(gate.tryEnter(name));
        gate.leave(name, milliseconds(10));
    });
    EXPECT_TRUE(gate.tryEnter("new"));
    clock.advance(milliseconds(1000));
    gate.onCallRefused("new", 1);
    EXPECT_TRUE(gate.limit("new"));
    EXPECT_FALSE(gate.tryEnter("new"));
}

TEST(KeptNames, TheGateKeepsKindsWithPendingRequests)
{
    ManualClock clock;
    NestedCallGate gate(clock);
    EXPECT_TRUE(gate.tryEnter("pending"));
    gate.retain([](const std::string &) { return false; });
    EXPECT_EQ(gate.size(), 1U);
    gate.leave("pending", milliseconds(10));
    gate.retain([](const std::string &) { return false; });
    EXPECT_EQ(gate.size(), 0U);
}
