// Guards against retries that are not recognised, and against memory that grows with the number of failed attempts.
#include "gateway/retry_detector.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

HttpRequest submission(const std::string &body)
{
    return { "POST", "/answers/1", { { "Host", "hunt.example" } }, body };
}

class RetryDetectorTest : public testing::Test
{
protected:
    void recordFailure(std::uint64_t fingerprint, TimePoint deadline)
    {
        m_detector.recordFailure({ fingerprint, deadline, m_clock.now() });
    }

    ManualClock m_clock;
    RetryDetector m_detector{ m_clock };
};

} // namespace

TEST_F(RetryDetectorTest, FindsTheFirstAttemptAlthoughDelaysDiffer)
{
    const auto first = m_clock.now();
    recordFailure(1, first + seconds(3));
    m_clock.advance(milliseconds(400));
    EXPECT_EQ(m_detector.takeAttempt(1, first + seconds(3) + milliseconds(30)).value().firstAttempt, first);
}

TEST_F(RetryDetectorTest, MatchesARememberedAttemptOnlyOnce)
{
    const auto deadline = m_clock.now() + seconds(3);
    recordFailure(1, deadline);
    EXPECT_TRUE(m_detector.takeAttempt(1, deadline));
    EXPECT_FALSE(m_detector.takeAttempt(1, deadline));
}

TEST_F(RetryDetectorTest, OtherRequestsWithTheSameDeadlineAreNoRetries)
{
    const auto deadline = m_clock.now() + seconds(3);
    recordFailure(RetryDetector::fingerprint(submission("a")), deadline);
    EXPECT_FALSE(m_detector.takeAttempt(RetryDetector::fingerprint(submission("b")), deadline));
    EXPECT_TRUE(m_detector.takeAttempt(RetryDetector::fingerprint(submission("a")), deadline));
}

TEST_F(RetryDetectorTest, ForgetsAttemptsAfterTheirDeadline)
{
    recordFailure(1, m_clock.now() + seconds(1));
    m_clock.advance(seconds(2));
    recordFailure(2, m_clock.now() + seconds(1));
    EXPECT_EQ(m_detector.size(), 1U);
}

TEST_F(RetryDetectorTest, KeepsABoundedNumberOfAttempts)
{
    for (std::uint64_t i = 0; i < 100'000; ++i) {
        recordFailure(i, m_clock.now() + seconds(3) + std::chrono::microseconds(i));
    }
    EXPECT_LE(m_detector.size(), 10'000U);
    EXPECT_TRUE(m_detector.takeAttempt(99'999, m_clock.now() + seconds(3) + milliseconds(99)));
}
