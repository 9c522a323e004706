// Guards against responses without end: they must end their request and connection at a limit.
#include "response_limits_fixture.h"

using namespace Toucandeck;

namespace
{

const std::string kHead = "HTTP/1.1 200 OK\r\nX-Id: one\r\n";

} // namespace

TEST_F(ResponseLimitsTest, EndlessHeaderLines)
{
    expectEndsWithin(128 * kKiB, kHead, "X-Filler: " + std::string(kKiB, 'x') + "\r\n");
}

TEST_F(ResponseLimitsTest, AnEndlessHeaderValue)
{
    expectEndsWithin(128 * kKiB, kHead + "X-Filler: ", std::string(kKiB, 'x'));
}

TEST_F(ResponseLimitsTest, AnEndlessReasonPhrase)
{
    expectEndsWithin(128 * kKiB, "HTTP/1.1 200 ", std::string(kKiB, 'x'));
}

// Each interim response started the count of header bytes anew.
TEST_F(ResponseLimitsTest, EndlessInterimResponses)
{
    expectEndsWithin(128 * kKiB, "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
}

// Each late response to another request started the count of header bytes anew.
TEST_F(ResponseLimitsTest, EndlessLateResponses)
{
    expectEndsWithin(128 * kKiB, "", "HTTP/1.1 200 OK\r\nX-Id: zero\r\nContent-Length: 1\r\n\r\na");
}

TEST_F(ResponseLimitsTest, EndlessLateResponsesWithLargeBodies)
{
    const std::string body(32 * kKiB, 'b');
    expectEndsWithin(9 * kMiB, "", "HTTP/1.1 200 OK\r\nX-Id: zero\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

TEST_F(ResponseLimitsTest, AnEndlessBodyWithoutLength)
{
    expectEndsWithin(9 * kMiB, kHead + "\r\n", std::string(kKiB, 'b'));
}

TEST_F(ResponseLimitsTest, AnEndlessChunkedBody)
{
    expectEndsWithin(9 * kMiB, kHead + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n");
}

TEST_F(ResponseLimitsTest, AnEndlessChunkExtension)
{
    expectEndsWithin(128 * kKiB, kHead + "Transfer-Encoding: chunked\r\n\r\n1;", std::string(kKiB, 'x'));
}

// Chunk extensions and trailers did not count as header bytes.
TEST_F(ResponseLimitsTest, EndlessChunksWithLongExtensions)
{
    expectEndsWithin(256 * kKiB, kHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + std::string(kKiB, 'x') + "\r\nb\r\n");
}

TEST_F(ResponseLimitsTest, EndlessTrailers)
{
    expectEndsWithin(128 * kKiB, kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + std::string(kKiB, 'x') + "\r\n");
}

// The body was read although its stated length is above the limit.
TEST_F(ResponseLimitsTest, ALengthAboveTheLimitEndsTheRequestAtOnce)
{
    m_accepted->write(kHead + "Content-Length: 1000000000\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_result.has_value(); }));
    EXPECT_EQ(m_result->error, BackendError::InvalidResponse);
}

TEST_F(ResponseLimitsTest, ALargeBodyPasses)
{
    const std::string body(4 * kMiB, 'b');
    answer(kHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_EQ(m_result->error, BackendError::None);
    EXPECT_EQ(m_result->response.body.size(), body.size());
}

TEST_F(ResponseLimitsTest, ABodyInSmallChunksPasses)
{
    std::string text = kHead + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < kMiB; ++i) {
        text += "1\r\nb\r\n";
    }
    answer(text + "0\r\n\r\n");
    EXPECT_EQ(m_result->error, BackendError::None);
    EXPECT_EQ(m_result->response.body.size(), kMiB);
}

TEST_F(ResponseLimitsTest, ALongHeadPasses)
{
    answer("HTTP/1.1 103 Early Hints\r\nLink: " + std::string(20 * kKiB, 'x') + "\r\n\r\n" + kHead
           + "X-Filler: " + std::string(20 * kKiB, 'x') + "\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(m_result->error, BackendError::None);
}

// The limits count for each request, not for the connection.
TEST_F(ResponseLimitsTest, ManyResponsesOnOneConnectionPass)
{
    constexpr int kRequests = 200;
    for (int i = 0; i < kRequests; ++i) {
        answer(kHead + "X-Filler: " + std::string(kKiB, 'x') + "\r\nContent-Length: 65536\r\n\r\n" + std::string(64 * kKiB, 'b'));
        ASSERT_EQ(m_result->error, BackendError::None);
        ASSERT_TRUE(m_connection->isReusable());
        m_result.reset();
        m_connection->send({}, "one", [this](BackendResult result) { m_result = std::move(result); });
    }
}
