// Guards against log lines that a key=value parser cannot parse.
#include "log/logger.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

constexpr Event kSample{ 9001, LogLevel::Warning, "sample", "Used by this test only." };

} // namespace

TEST(Logger, WritesTimeLevelNumberNameAndFields)
{
    const WallTime time{ std::chrono::milliseconds(1'700'000'000'123) };
    EXPECT_EQ(formatLogLine(time, "router", kSample, { field("replica", 7) }),
              "2023-11-14T22:13:20.123Z warning 9001 sample process=router replica=7");
}

TEST(Logger, QuotesValuesWithSpacesAndQuotes)
{
    const WallTime time{ std::chrono::milliseconds(0) };
    const auto line = formatLogLine(time, "router", kSample, { field("error", "no \"key\"\nhere"), field("empty", "") });
    EXPECT_EQ(line, "1970-01-01T00:00:00.000Z warning 9001 sample process=router error=\"no \\\"key\\\"\\nhere\" empty=\"\"");
}
