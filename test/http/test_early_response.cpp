// Guards against responses that arrive while the request is still being written: one that breaks off must not count as complete, and one
// that is whole must be delivered.
#include "backend_fixture.h"

#include "runtime/connection_ending.h"

#include <csignal>

using namespace Toucandeck;
using Ending = ConnectionEnding;
using std::chrono::milliseconds;

namespace
{

/// Larger than the buffers of both sockets, so that part of the request stays unwritten.
constexpr std::size_t kUploadBytes = 32U << 20U;

const std::string kHead = "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Seal: s\r\n";
const std::string kUnsized = kHead + "\r\n0123456789";

class EarlyResponseTest : public BackendFixture
{
protected:
    EarlyResponseTest()
    {
        std::signal(SIGPIPE, SIG_IGN); // As the programs do.
    }

    /// Sends an upload and answers it with @p text as soon as its head has arrived.
    /// @param readFirst the text is read before the connection ends.
    BackendResult resultOf(const std::string &text, Ending ending, bool readFirst)
    {
        m_accepted.reset();
        m_connection = std::make_unique<BackendConnection>(*m_loop, m_address, "X-Id");
        std::optional<BackendResult> result;
        m_connection->send({ "POST", "/", { { "X-Id", "one" } }, std::string(kUploadBytes, 'x') }, "one", [&result](BackendResult it) {
            result = std::move(it);
        });
        EXPECT_TRUE(runUntil([this] { return hasReceived("\r\n\r\n"); }));
        m_loop->runUntil([] { return false; }, milliseconds(20)); // Fills the buffers of the sockets.
        m_accepted->write(text);
        if (readFirst) {
            m_loop->runUntil([&result] { return result.has_value(); }, milliseconds(20));
        }
        endConnection(*m_accepted, ending);
        EXPECT_TRUE(runUntil([&result] { return result.has_value(); }));
        return result.value_or(BackendResult{});
    }

    std::unique_ptr<BackendConnection> m_connection;
};

} // namespace

// The write that failed took the reset, and the read after it found the end of the stream: the part counted as the whole response.
TEST_F(EarlyResponseTest, AResponseWithoutLengthIsNotCompleteAfterAReset)
{
    for (const bool readFirst : { true, false }) {
        const auto result = resultOf(kUnsized, Ending::Reset, readFirst);
        EXPECT_EQ(result.error, BackendError::InvalidResponse) << readFirst;
        EXPECT_EQ(result.fault, ResponseFault::TruncatedBody) << readFirst;
        EXPECT_FALSE(m_connection->isReusable());
    }
}

TEST_F(EarlyResponseTest, AResponseCutByAResetIsNotComplete)
{
    for (const auto &text : { kHead + "Content-Length: 20\r\n\r\n0123456789",
                              kHead + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n",
                              kHead.substr(0, kHead.size() - 2) }) {
        for (const bool readFirst : { true, false }) {
            EXPECT_EQ(resultOf(text, Ending::Reset, readFirst).error, BackendError::InvalidResponse) << text << readFirst;
        }
    }
}

TEST_F(EarlyResponseTest, AResponseWithoutLengthIsCompleteAtTheEndOfTheStream)
{
    for (const auto ending : { Ending::EndOfStream, Ending::EndOfStreamThenReset }) {
        for (const bool readFirst : { true, false }) {
            const auto result = resultOf(kUnsized, ending, readFirst);
            EXPECT_EQ(result.error, BackendError::None) << readFirst;
            EXPECT_EQ(result.response.body, "0123456789");
            EXPECT_FALSE(m_connection->isReusable());
        }
    }
}

TEST_F(EarlyResponseTest, AResponseWithLengthIsCompleteWhateverFollows)
{
    const std::string body(100'000, 'b');
    const auto text = kHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (const auto ending : { Ending::Open, Ending::EndOfStream, Ending::EndOfStreamThenReset, Ending::Reset }) {
        for (const bool readFirst : { true, false }) {
            const auto result = resultOf(text, ending, readFirst);
            EXPECT_EQ(result.error, BackendError::None) << readFirst;
            EXPECT_EQ(result.response.body, body);
            EXPECT_FALSE(m_connection->isReusable());
        }
    }
}
