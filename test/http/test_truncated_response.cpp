// Guards against truncated responses that are accepted as complete.
#include "backend_fixture.h"

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

/// How the backend server ends the connection.
enum class Ending {
    Close,
    Reset,
    ResetAfterRead, ///< The sent data has been read before the reset.
};

constexpr Ending kEndings[] = { Ending::Close, Ending::Reset, Ending::ResetAfterRead };

class TruncatedResponseTest : public BackendFixture
{
protected:
    /// The result of a request whose connection carries @p text and then ends.
    BackendResult resultOf(const std::string &text, Ending ending, const std::string &method = "GET")
    {
        m_accepted.reset();
        BackendConnection connection(*m_loop, m_address, "X-Id");
        HttpRequest request;
        request.method = method;
        request.headers.push_back({ "X-Id", "one" });
        std::optional<BackendResult> result;
        connection.send(request, "one", [&result](BackendResult it) { result = std::move(it); });
        EXPECT_TRUE(runUntil([this] { return hasReceived("\r\n\r\n"); }));
        m_accepted->write(text);
        if (ending == Ending::ResetAfterRead) {
            m_loop->runUntil([&result] { return result.has_value(); }, milliseconds(1));
        }
        if (ending == Ending::Close) {
            m_accepted->close();
        } else {
            m_accepted->reset();
        }
        EXPECT_TRUE(runUntil([&result] { return result.has_value(); }));
        return result.value_or(BackendResult{});
    }

    /// Expects an error for every prefix of the text that is shorter than @p end bytes.
    void expectNoPrefixIsComplete(const std::string &text, std::size_t end, Ending ending, const std::string &method = "GET")
    {
        for (std::size_t n = 0; n < end; ++n) {
            const auto result = resultOf(text.substr(0, n), ending, method);
            EXPECT_NE(result.error, BackendError::None) << "cut after " << n << " bytes: " << text.substr(0, n);
        }
    }
};

const std::string kHead = "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Seal: s\r\n";
const std::string kSized = kHead + "Content-Length: 10\r\n\r\n0123456789";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5;x=1\r\n56789\r\n0\r\nT: t\r\n\r\n";
const std::string kUnsized = kHead + "\r\n0123456789";

/// A response with a chunked body, framed by the given header lines.
std::string chunkedResponse(const char *framing)
{
    auto text = kHead;
    text += framing;
    text += "\r\n2\r\nok\r\n0\r\n\r\n";
    return text;
}
const std::string kInterim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

} // namespace

TEST_F(TruncatedResponseTest, AResponseWithLengthIsCompleteOnlyWithAllItsBytes)
{
    for (const auto ending : kEndings) {
        expectNoPrefixIsComplete(kSized, kSized.size(), ending);
    }
    EXPECT_EQ(resultOf(kSized, Ending::Close).response.body, "0123456789");
}

TEST_F(TruncatedResponseTest, AChunkedResponseIsCompleteOnlyWithItsTrailers)
{
    for (const auto ending : kEndings) {
        expectNoPrefixIsComplete(kChunked, kChunked.size(), ending);
    }
    EXPECT_EQ(resultOf(kChunked, Ending::Close).response.body, "0123456789");
}

TEST_F(TruncatedResponseTest, AnInterimResponseCompletesNothing)
{
    for (const auto ending : kEndings) {
        expectNoPrefixIsComplete(kInterim + kSized, kInterim.size() + kSized.size(), ending);
    }
    EXPECT_EQ(resultOf(kInterim + kSized, Ending::Close).response.body, "0123456789");
}

TEST_F(TruncatedResponseTest, AResponseWithoutLengthNeedsItsWholeHead)
{
    expectNoPrefixIsComplete(kUnsized, kUnsized.find("\r\n\r\n") + 4, Ending::Close);
    EXPECT_EQ(resultOf(kUnsized, Ending::Close).response.body, "0123456789");
}

TEST_F(TruncatedResponseTest, AResponseWithoutLengthIsNeverCompleteAfterAReset)
{
    expectNoPrefixIsComplete(kUnsized, kUnsized.size() + 1, Ending::Reset);
    expectNoPrefixIsComplete(kUnsized, kUnsized.size() + 1, Ending::ResetAfterRead);
}

TEST_F(TruncatedResponseTest, TheResponseToAHeadRequestNeedsItsWholeHead)
{
    const auto text = kHead + "Content-Length: 10\r\n\r\n";
    for (const auto ending : kEndings) {
        expectNoPrefixIsComplete(text, text.size(), ending, "HEAD");
    }
    EXPECT_EQ(resultOf(text, Ending::Close, "HEAD").error, BackendError::None);
}

TEST_F(TruncatedResponseTest, ALateResponseCompletesNothing)
{
    const std::string late = "HTTP/1.1 200 OK\r\nX-Id: zero\r\nContent-Length: 1\r\n\r\na";
    for (const auto ending : kEndings) {
        expectNoPrefixIsComplete(late + kSized, late.size() + kSized.size(), ending);
    }
    EXPECT_EQ(resultOf(late + kSized, Ending::Close).response.body, "0123456789");
}

TEST_F(TruncatedResponseTest, ContradictoryLengthsAreRejected)
{
    for (const char *lengths : { "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
                                 "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
                                 "Content-Length: 2\r\nContent-Length: 2\r\n",
                                 "Content-Length: 2\r\nContent-Length: 9\r\n",
                                 "Content-Length: 2, 2\r\n",
                                 "Content-Length: -1\r\n",
                                 "Content-Length:\r\n",
                                 "Content-Length: 2x\r\n",
                                 "Content-Length: 99999999999999999999\r\n" }) {
        EXPECT_EQ(resultOf(chunkedResponse(lengths), Ending::Close).error, BackendError::InvalidResponse) << lengths;
    }
}

// A body in a transfer encoding that was not decoded was delivered as the body of the response.
TEST_F(TruncatedResponseTest, UnsupportedTransferEncodingsAreRejected)
{
    for (const char *encoding : { "Transfer-Encoding: gzip\r\n",
                                  "Transfer-Encoding: chunked, gzip\r\n",
                                  "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
                                  "Transfer-Encoding: gzip, chunked\r\n",
                                  "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                  "Transfer-Encoding: identity\r\n" }) {
        EXPECT_EQ(resultOf(chunkedResponse(encoding), Ending::Close).error, BackendError::InvalidResponse) << encoding;
    }
    for (const char *encoding : { "transfer-encoding: Chunked\r\n", "Transfer-Encoding:chunked \r\n" }) {
        EXPECT_EQ(resultOf(chunkedResponse(encoding), Ending::Close).response.body, "ok") << encoding;
    }
}

// Bytes after the head of a 204 or 304 with a length were delivered as its body.
TEST_F(TruncatedResponseTest, StatusesWithoutBodyHaveNone)
{
    for (const std::string status : { "204", "304" }) {
        const auto result = resultOf("HTTP/1.1 " + status + " X\r\nX-Id: one\r\nContent-Length: 2\r\n\r\nok", Ending::Close);
        EXPECT_EQ(result.error, BackendError::None) << status;
        EXPECT_EQ(result.response.body, "") << status;
    }
}

// A valid 304 with a length and without a body got no answer until its connection was closed.
TEST_F(TruncatedResponseTest, StatusesWithoutBodyEndWithTheirHead)
{
    for (const std::string status : { "204", "304" }) {
        const auto result = resultOf("HTTP/1.1 " + status + " X\r\nX-Id: one\r\nContent-Length: 2\r\n\r\n", Ending::Close);
        EXPECT_EQ(result.error, BackendError::None) << status;
    }
}

// A length in an interim response made the head of the response after it count as a body.
TEST_F(TruncatedResponseTest, AnInterimResponseEndsWithItsHead)
{
    const auto result = resultOf("HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n" + kSized, Ending::Close);
    EXPECT_EQ(result.error, BackendError::None);
    EXPECT_EQ(result.response.body, "0123456789");
}
