// Guards against fault soak runs that miss violations: the audit must report each violated guarantee.
#include "platform/run_audit.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::Standin;

TEST(RunAudit, ReportsASecondRunOfARequestThatIsNotIdempotent)
{
    RunAudit audit;
    audit.began("a", "safe", true, {});
    audit.began("b", "safe", true, {});
    audit.began("a", "unsafe", false, {});
    EXPECT_TRUE(audit.violations().empty());
    audit.began("b", "unsafe", false, {});
    EXPECT_EQ(audit.violations().size(), 1U);
    EXPECT_EQ(audit.runsOf("unsafe"), 2);
}

TEST(RunAudit, ReportsARunWhileAnotherHoldsTheKey)
{
    RunAudit audit;
    audit.began("a", "r", true, { "b" });
    EXPECT_EQ(audit.violations().size(), 1U);
}

TEST(RunAudit, ReportsAFencingTokenThatIsNotAboveTheLastHolders)
{
    RunAudit audit;
    audit.taken("a", { 0, 99 }, 5);
    audit.taken("a", { 0, 99 }, 5);
    audit.taken("b", { 50, 99 }, 6);
    EXPECT_TRUE(audit.violations().empty());
    audit.taken("a", { 40, 60 }, 6);
    EXPECT_EQ(audit.violations().size(), 1U);
}
