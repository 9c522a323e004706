// Guards against log lines that are not JSON, against unbounded log volume, and against blocking on a reader that has stopped.
#include "log/json_logger.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace Toucandeck;

namespace
{

constexpr Event kSample{ 1, LogLevel::Info, "sample", "Used by this test only." };
constexpr Event kDetail{ 2, LogLevel::Debug, "detail", "Used by this test only." };

class JsonLoggerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(::pipe(m_pipe), 0);
        ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    }

    ~JsonLoggerTest() override
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    std::string read()
    {
        std::string text(1U << 20U, '\0');
        const auto n = ::read(m_pipe[0], text.data(), text.size());
        text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return text;
    }

    int m_pipe[2] = { -1, -1 };
    ManualClock m_clock;
};

} // namespace

TEST(JsonLine, EscapesQuotesBackslashesAndControlCharacters)
{
    const WallTime time{ std::chrono::milliseconds(5) };
    EXPECT_EQ(formatJsonLine(time, "p", kSample, { field("text", "a\"b\\c\nd") }),
              R"({"time_ms":5,"level":"info","number":1,"event":"sample","process":"p","text":"a\"b\\c\u000ad"})");
}

TEST_F(JsonLoggerTest, WritesNothingBeforeFlush)
{
    JsonLogger logger(m_clock, m_pipe[1], "p", LogLevel::Info);
    logger.write(kSample, {});
    EXPECT_EQ(read(), "");
    logger.flush();
    EXPECT_NE(read().find("\"event\":\"sample\""), std::string::npos);
}

TEST_F(JsonLoggerTest, LeavesOutLowerLevels)
{
    JsonLogger logger(m_clock, m_pipe[1], "p", LogLevel::Info);
    logger.write(kDetail, {});
    logger.flush();
    EXPECT_EQ(read(), "");
}

TEST_F(JsonLoggerTest, BoundsLinesOfAKindPerSecondAndCountsTheRest)
{
    JsonLogger logger(m_clock, m_pipe[1], "p", LogLevel::Info);
    for (int i = 0; i < 1000; ++i) {
        logger.write(kSample, {});
    }
    logger.flush();
    const auto text = read();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 100);
    m_clock.advance(std::chrono::seconds(1));
    logger.write(kSample, {});
    logger.flush();
    EXPECT_NE(read().find("\"suppressed\":900"), std::string::npos);
}

// Guards against omitted lines that no line reports, because no event of their kind follows.
TEST_F(JsonLoggerTest, ReportsOmittedLinesWithoutAnotherEventOfTheirKind)
{
    JsonLogger logger(m_clock, m_pipe[1], "p", LogLevel::Info);
    for (int i = 0; i < 103; ++i) {
        logger.write(kSample, { field("text", "x") });
    }
    logger.flush();
    EXPECT_EQ(read().find("suppressed"), std::string::npos);
    m_clock.advance(std::chrono::seconds(1));
    logger.flush();
    EXPECT_NE(read().find(R"("level":"info","number":1,"event":"sample","process":"p","suppressed":3})"), std::string::npos);
    m_clock.advance(std::chrono::seconds(1));
    logger.flush();
    EXPECT_EQ(read(), "");
}

// Guards against omitted lines that no line reports, because the process ends.
TEST_F(JsonLoggerTest, ReportsOmittedLinesAtTheEnd)
{
    {
        JsonLogger logger(m_clock, m_pipe[1], "p", LogLevel::Info);
        for (int i = 0; i < 103; ++i) {
            logger.write(kSample, {});
        }
    }
    EXPECT_NE(read().find("\"suppressed\":3"), std::string::npos);
}

TEST_F(JsonLoggerTest, DropsLinesInsteadOfBlockingOnAReaderThatHasStopped)
{
    JsonLogger logger(m_clock, m_pipe[1], "p", LogLevel::Info);
    const std::string large(4000, 'x');
    for (int i = 0; i < 2000; ++i) {
        m_clock.advance(std::chrono::milliseconds(20));
        logger.write(kSample, { field("text", large) });
        logger.flush();
    }
    EXPECT_GT(logger.droppedLines(), 0U);
}
