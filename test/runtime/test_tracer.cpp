// Guards against broken traces: malformed headers must start a new trace, well formed ones must be continued.
#include "runtime/tracer.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>
#include <unistd.h>

using namespace Toucandeck;

namespace
{

const std::string kTrace = "4bf92f3577b34da6a3ce929d0e0e4736";
const std::string kSpan = "00f067aa0ba902b7";

} // namespace

TEST(Traceparent, ReadsWellFormedHeaders)
{
    const auto context = parseTraceparent("00-" + kTrace + "-" + kSpan + "-01");
    ASSERT_TRUE(context);
    EXPECT_EQ(context->traceId, kTrace);
    EXPECT_EQ(context->spanId, kSpan);
    EXPECT_EQ(context->flags, 1);
    EXPECT_EQ(context->toHeader(), "00-" + kTrace + "-" + kSpan + "-01");
    EXPECT_TRUE(parseTraceparent("cc-" + kTrace + "-" + kSpan + "-01-future"));
}

TEST(Traceparent, RefusesMalformedHeaders)
{
    const std::string zeros(32, '0');
    for (const auto &it : { std::string(),
                            std::string(60, '-'),
                            fmt::format("ff-{}-{}-01", kTrace, kSpan),
                            fmt::format("00-{}-{}-01-x", kTrace, kSpan),
                            fmt::format("cc-{}-{}-01x", kTrace, kSpan),
                            fmt::format("00-{}-{}-01", zeros, kSpan),
                            fmt::format("00-{}-{}-01", kTrace, zeros.substr(16)),
                            fmt::format("00-{}-{}-0g", kTrace, kSpan),
                            fmt::format("00-4BF92F3577b34da6a3ce929d0e0e4736-{}-01", kSpan) }) {
        EXPECT_FALSE(parseTraceparent(it)) << it;
    }
}

RC_GTEST_PROP(Traceparent, AnyBytesAreRefusedOrReadBackUnchanged, (const std::string &bytes, std::uint8_t at, char c))
{
    parseTraceparent(bytes);
    auto header = "00-" + kTrace + "-" + kSpan + "-01";
    header[at % header.size()] = c;
    const auto context = parseTraceparent(header);
    // Later versions are read as version 00, so the version digits may differ.
    RC_ASSERT((!context || context->toHeader().substr(2) == header.substr(2)));
}

TEST(Tracer, WritesOneJsonLinePerSampledSpan)
{
    const auto file = std::filesystem::path(testing::TempDir()) / ("toucandeck_trace_" + std::to_string(getpid()));
    ManualClock clock;
    SeededRandom random(1);
    NullLogger logger;
    {
        Tracer tracer(clock, random, "router", file.string(), logger);
        auto span = tracer.start("hop", "00-" + kTrace + "-" + kSpan + "-01");
        span.tag("bytes", "\xff");
        clock.advance(std::chrono::milliseconds(3));
        EXPECT_NE(span.context().spanId, kSpan);
        const auto unsampled = tracer.start("hop", "00-" + kTrace + "-" + kSpan + "-00");
        EXPECT_EQ(unsampled.context().traceId, kTrace);
    }
    std::ifstream in(file);
    std::string line;
    ASSERT_TRUE(std::getline(in, line));
    const auto json = nlohmann::json::parse(line);
    EXPECT_EQ(json["trace_id"], kTrace);
    EXPECT_EQ(json["parent_span_id"], kSpan);
    EXPECT_EQ(json["duration_us"], 3000);
    EXPECT_FALSE(std::getline(in, line));
    std::filesystem::remove(file);
}
