// Guards against answers of a faulty backend server that are attributed to another request, taken as complete though they are not, or read
// without limit.
#include "connection_ending.h"
#include "raw_server.h"

#include "runtime/http_client.h"

#include <csignal>

using namespace Toucandeck;
using Ending = ConnectionEnding;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view kNotRun = "HTTP/1.1 503 Service Unavailable\r\nToucandeck-Verdict: not-run\r\nContent-Length: 0\r\n\r\n";

struct HttpAnswersTest : LoopFixture
{
    void SetUp() override
    {
        LoopFixture::SetUp();
        std::signal(SIGPIPE, SIG_IGN); // As the programs do.
        server = std::make_unique<RawServer>(*loop, [this](RawPeer &it) { onRequest(it); });
        client = std::make_unique<HttpClient>(*loop, options, logger);
    }

    void TearDown() override
    {
        pump.cancel();
        client.reset();
        server.reset();
    }

    /// Result of one request.
    HttpResult request(Duration timeout = 10s, const std::string &method = "GET")
    {
        std::optional<HttpResult> result;
        client->send(server->address(), { method, "/", {}, {} }, timeout, [&result](HttpResult it) { result = std::move(it); });
        EXPECT_TRUE(runUntil([&] { return result.has_value(); }));
        return result.value_or(HttpResult());
    }

    /// Result of a request that the server answers with these bytes.
    HttpResult resultOf(const std::string &bytes, const std::string &method = "GET")
    {
        onRequest = [bytes](RawPeer &it) { it.write(bytes); };
        return request(10s, method);
    }

    /// Result of a request that the server answers with these bytes and the end of the connection.
    HttpResult resultOfClosed(const std::string &bytes, bool reset)
    {
        onRequest = [bytes, reset](RawPeer &it) {
            it.write(bytes);
            reset ? it.reset() : it.finish();
        };
        return request();
    }

    /// Result of a large request of which the server reads the head only.
    /// @param readFirst the client reads the answer before the connection ends.
    HttpResult resultOfUnread(const std::string &bytes, Ending ending, bool readFirst)
    {
        RawPeer *peer = nullptr;
        onRequest = [&peer](RawPeer &it) {
            it.stopReading();
            peer = &it;
        };
        std::optional<HttpResult> result;
        client->send(server->address(), { "POST", "/", {}, std::string(32U << 20U, 'x') }, 10s, [&result](HttpResult it) {
            result = std::move(it);
        });
        EXPECT_TRUE(runUntil([&peer] { return peer != nullptr; }));
        loop->runUntil([] { return false; }, 20ms); // Fills the buffers of the sockets.
        peer->write(bytes);
        if (readFirst) {
            loop->runUntil([&result] { return result.has_value(); }, 20ms);
        }
        endConnection(*peer, ending);
        EXPECT_TRUE(runUntil([&result] { return result.has_value(); }));
        return result.value_or(HttpResult());
    }

    /// Expects that a request answered with @p start and then with @p part again and again ends at a limit.
    void expectLimit(const std::string &start, const std::string &part)
    {
        const auto label = start.substr(0, 60) + "..." + part.substr(0, 40);
        onRequest = [this, start, part](RawPeer &it) {
            it.write(start);
            pump = loop->every(100us, [&it, part] { it.write(part); });
        };
        const auto result = request(5s);
        pump.cancel();
        EXPECT_FALSE(result.response) << label;
        EXPECT_EQ(result.verdict, Verdict::MayHaveRun) << label;
        EXPECT_EQ(result.code, ErrorCode::Unavailable) << label << ": " << result.error;
        expectClosedAndUsable(label);
    }

    /// Expects that the client has closed the last connection and that another request is served.
    void expectClosedAndUsable(const std::string &label)
    {
        EXPECT_EQ(client->idleConnections(server->address()), 0U) << label;
        auto &last = *server->peers().back();
        EXPECT_TRUE(runUntil([&last] { return last.isClosed(); })) << label;
        const auto next = resultOf(std::string(kOk));
        EXPECT_TRUE(next.response && next.response->body == "ok") << label << ": " << next.error;
        client->closeIdle(server->address(), 1);
    }

    void expectInvalid(const std::string &bytes)
    {
        const auto result = resultOf(bytes);
        EXPECT_FALSE(result.response) << bytes;
        EXPECT_EQ(result.verdict, Verdict::MayHaveRun) << bytes;
        EXPECT_EQ(result.code, ErrorCode::Unavailable) << bytes << ": " << result.error;
        client->closeIdle(server->address(), 1);
    }

    HttpClientOptions options = [] {
        HttpClientOptions it;
        it.maxHeaderBytes = 4096;
        it.maxBodyBytes = 65536;
        return it;
    }();
    RecordingLogger logger;
    std::unique_ptr<RawServer> server;
    std::unique_ptr<HttpClient> client;
    std::function<void(RawPeer &)> onRequest;
    EventLoop::Watch pump;
};

} // namespace

// Guards against a refusal that is repeated after the next request was written and is taken for its answer.
TEST_F(HttpAnswersTest, RefusalRepeatedAfterTheNextRequestIsNotItsAnswer)
{
    onRequest = [](RawPeer &it) { it.write(kNotRun); };
    const auto refused = request();
    ASSERT_TRUE(refused.response);
    EXPECT_EQ(refused.response->status, 503);
    onRequest = [](RawPeer &it) {
        if (it.requests() > 1) {
            it.write(kNotRun);
        }
        it.write(kOk);
    };
    const auto next = request();
    ASSERT_TRUE(next.response);
    EXPECT_EQ(next.response->status, 200);
}

// Guards against a refusal that arrives twice at once and is taken for the answer to the next request.
TEST_F(HttpAnswersTest, RefusalRepeatedInTheSameSegmentIsNotTheNextAnswer)
{
    onRequest = [](RawPeer &it) { it.write(std::string(kNotRun) + std::string(kNotRun)); };
    EXPECT_TRUE(request().response);
    onRequest = [](RawPeer &it) { it.write(kOk); };
    const auto next = request();
    ASSERT_TRUE(next.response);
    EXPECT_EQ(next.response->status, 200);
}

// Guards against bytes behind a complete answer that are taken for the answer to the next request.
TEST_F(HttpAnswersTest, BytesBehindAnAnswerAreNotTheNextAnswer)
{
    for (const auto extra : { kNotRun, kOk, std::string_view("\r\n") }) {
        onRequest = [extra](RawPeer &it) { it.write(std::string(kOk) + std::string(extra)); };
        EXPECT_TRUE(request().response) << extra;
        onRequest = [](RawPeer &it) { it.write("HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n"); };
        const auto next = request();
        ASSERT_TRUE(next.response) << extra << next.error;
        EXPECT_EQ(next.response->status, 201) << extra;
        client->closeIdle(server->address(), 1);
    }
}

// Guards against a refusal that is repeated between two requests and is taken for the answer to the second one.
TEST_F(HttpAnswersTest, RefusalRepeatedBetweenRequestsIsNotTheNextAnswer)
{
    for (const auto first : { kOk, kNotRun }) {
        onRequest = [first](RawPeer &it) { it.write(first); };
        EXPECT_TRUE(request().response);
        server->peers().back()->write(kNotRun);
        onRequest = [](RawPeer &it) { it.write("HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n"); };
        const auto next = request();
        ASSERT_TRUE(next.response);
        EXPECT_EQ(next.response->status, 201);
        client->closeIdle(server->address(), 1);
    }
}

TEST_F(HttpAnswersTest, ConnectionIsKeptAfterAnOrdinaryAnswer)
{
    onRequest = [](RawPeer &it) { it.write(kOk); };
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(request().response);
    }
    EXPECT_EQ(server->peers().size(), 1U);
}

// Guards against an answer that was cut off and is taken as complete.
TEST_F(HttpAnswersTest, AnswerCutAtAnyByteIsNoResponse)
{
    const std::string start = "HTTP/1.1 200 OK\r\nX-Name: value\r\n";
    const std::vector<std::string> answers{
        start + "Content-Length: 11\r\n\r\nhello world",
        "HTTP/1.1 100 Continue\r\n\r\n" + start + "Content-Length: 3\r\n\r\nabc",
        start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\nX-Trailer: t\r\n\r\n",
    };
    for (const auto &answer : answers) {
        for (std::size_t n = 0; n < answer.size(); ++n) {
            for (const bool reset : { false, true }) {
                const auto result = resultOfClosed(answer.substr(0, n), reset);
                EXPECT_FALSE(result.response) << answer << " cut at " << n << (reset ? " by RST" : " by FIN");
                EXPECT_EQ(result.verdict, Verdict::MayHaveRun) << answer << " cut at " << n << (reset ? " by RST" : " by FIN");
            }
        }
        const auto whole = resultOf(answer);
        EXPECT_TRUE(whole.response) << answer << whole.error;
    }
}

// Guards against an answer without length that is taken as complete though its connection was reset or its head was cut off.
TEST_F(HttpAnswersTest, AnswerWithoutLengthIsCompleteOnlyAtTheOrdinaryEnd)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Name: value\r\n\r\n";
    const std::string answer = head + "hello";
    for (std::size_t n = 0; n <= answer.size(); ++n) {
        EXPECT_FALSE(resultOfClosed(answer.substr(0, n), true).response) << n;
        const auto result = resultOfClosed(answer.substr(0, n), false);
        EXPECT_EQ(result.response.has_value(), n >= head.size()) << n;
        EXPECT_EQ(result.verdict, n >= head.size() ? Verdict::Ran : Verdict::MayHaveRun) << n;
    }
}

// Guards against a body whose end is ambiguous and that is passed on short or with bytes of its framing.
TEST_F(HttpAnswersTest, AmbiguousFramingIsNoResponse)
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    expectInvalid(start + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc");
    expectInvalid(start + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab");
    expectInvalid(start + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    expectInvalid(start + "Transfer-Encoding: gzip, chunked\r\nContent-Length: 2\r\n\r\nab");
    for (const char *it : { "+2", "-2", "2x", "0x2", "2, 2", "", "99999999999999999999" }) {
        expectInvalid(start + "Content-Length: " + it + "\r\n\r\nab");
    }
    for (const char *it : { "+2\r\nab", "0x2\r\nab", "-2\r\nab", "\r\n2\r\nab", "2\r\nabc", "ffffffffffffffffff\r\nab" }) {
        expectInvalid(start + "Transfer-Encoding: chunked\r\n\r\n" + it + "\r\n0\r\n\r\n");
    }
    expectInvalid(start + "Content-Length : 2\r\n\r\nab");
    EXPECT_FALSE(resultOfClosed(start + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false).response);
    EXPECT_FALSE(resultOfClosed(start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\nab", false).response);
}

// Guards against bytes that are no answer and are taken as one.
TEST_F(HttpAnswersTest, BytesThatAreNoAnswerAreNoResponse)
{
    for (const char *it : { "nonsense\r\n\r\n",
                            "HTTP/1.1 20 OK\r\n\r\n",
                            "HTTP/1.1 2x0 OK\r\n\r\n",
                            "HTTP/1.1 -20 OK\r\n\r\n",
                            "HTTP/1.1 2000 OK\r\n\r\n",
                            "HTTP/2.0 200 OK\r\n\r\n",
                            "HTTP/1.1200 OK\r\n\r\n",
                            "\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
                            "HTTP/1.1 200 OK\r\n: no name\r\n\r\n",
                            "HTTP/1.1 101 Switching Protocols\r\n\r\n" }) {
        expectInvalid(it);
    }
}

// Guards against an interim answer or a trailer field that is taken for the answer or for one of its headers.
TEST_F(HttpAnswersTest, InterimAnswersAndTrailersAreNotPartOfTheAnswer)
{
    const auto interim = resultOf("HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 7\r\n\r\n"
                                  "HTTP/1.1 100 Continue\r\nToucandeck-Verdict: not-run\r\n\r\n"
                                  + std::string(kOk));
    ASSERT_TRUE(interim.response) << interim.error;
    EXPECT_EQ(interim.response->status, 200);
    EXPECT_EQ(interim.response->body, "ok");
    EXPECT_FALSE(interim.response->header("Link"));
    EXPECT_FALSE(interim.response->header("Toucandeck-Verdict"));
    const auto chunked
        = resultOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nToucandeck-Verdict: not-run\r\n\r\n");
    ASSERT_TRUE(chunked.response) << chunked.error;
    EXPECT_EQ(chunked.response->body, "ok");
    EXPECT_FALSE(chunked.response->header("Toucandeck-Verdict"));
}

// Guards against the body of an answer that has none and that is read as the start of the next answer.
TEST_F(HttpAnswersTest, BodyOfAnAnswerWithoutOneIsNotTheNextAnswer)
{
    for (const char *status : { "204 No Content", "304 Not Modified" }) {
        const auto result
            = resultOf(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 38\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        ASSERT_TRUE(result.response) << status << result.error;
        EXPECT_EQ(result.response->body, "") << status;
        const auto next = resultOf("HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
        ASSERT_TRUE(next.response) << status << next.error;
        EXPECT_EQ(next.response->status, 201) << status;
        client->closeIdle(server->address(), 1);
    }
    const auto head = resultOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HEAD");
    ASSERT_TRUE(head.response) << head.error;
    EXPECT_EQ(head.response->body, "");
    EXPECT_EQ(client->idleConnections(server->address()), 1U);
}

// Guards against an answer without end that is read until the deadline.
TEST_F(HttpAnswersTest, EndlessAnswerEndsAtTheLimit)
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string block(8192, 'a');
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    expectLimit("", block);
    expectLimit("HTTP/1.1 200 ", block);
    expectLimit(start, "X-Name: value\r\n");
    expectLimit(start + "X-Name: ", block);
    expectLimit("", "HTTP/1.1 100 Continue\r\n\r\n");
    expectLimit("", "HTTP/1.1 102 Processing\r\nX-Name: value\r\n\r\n");
    expectLimit(start + "\r\n", block);
    expectLimit(start + "Content-Length: 10000000\r\n\r\n", block);
    expectLimit(chunked, "1000\r\n" + std::string(4096, 'b') + "\r\n");
    expectLimit(chunked + "fffffff\r\n", block);
    expectLimit(chunked + "2;", block);
    expectLimit(chunked + std::string(100, '0'), std::string(100, '0'));
    expectLimit(chunked, "1;" + block.substr(0, 200) + "\r\nx\r\n");
    expectLimit(chunked + "0\r\n", "X-Name: value\r\n");
    expectLimit(chunked + "0\r\nX-Name: ", block);
}

// Guards against an answer that arrives before the request was read, and whose bytes are stored without limit.
TEST_F(HttpAnswersTest, EndlessAnswerToAnUnreadRequestEndsAtTheLimit)
{
    const std::string block(8192, 'a');
    onRequest = [this, &block](RawPeer &it) {
        it.stopReading();
        pump = loop->every(100us, [&it, &block] { it.write(block); });
    };
    std::optional<HttpResult> result;
    client->send(
        server->address(), { "POST", "/", {}, std::string(32U << 20U, 'x') }, 5s, [&result](HttpResult it) { result = std::move(it); });
    ASSERT_TRUE(runUntil([&] { return result.has_value(); }));
    pump.cancel();
    EXPECT_FALSE(result->response);
    EXPECT_EQ(result->verdict, Verdict::MayHaveRun);
    EXPECT_EQ(result->code, ErrorCode::Unavailable) << result->error;
}

// Guards against large answers on many connections that exhaust the memory together.
TEST_F(HttpAnswersTest, IncompleteAnswersTogetherAreBounded)
{
    constexpr std::size_t kRequests = 10;
    constexpr std::size_t kSent = 7U << 20U;
    const std::string block(65536, 'a');
    client = std::make_unique<HttpClient>(*loop, HttpClientOptions(), logger);
    onRequest = [](RawPeer &it) { it.write("HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n"); };
    pump = loop->every(100us, [&] {
        for (const auto &it : server->peers()) {
            if (it->requests() > 0 && it->sentBytes() < kSent) {
                it->write(block);
            }
        }
    });
    std::vector<HttpResult> results;
    for (std::size_t i = 0; i < kRequests; ++i) {
        client->send(server->address(), {}, 30s, [&results](HttpResult it) { results.push_back(std::move(it)); });
    }
    ASSERT_TRUE(runUntil([&results] { return !results.empty(); }));
    EXPECT_FALSE(results[0].response);
    EXPECT_EQ(results[0].verdict, Verdict::MayHaveRun);
    EXPECT_EQ(results[0].code, ErrorCode::Unavailable) << results[0].error;
    pump.cancel();
    client = std::make_unique<HttpClient>(*loop, HttpClientOptions(), logger);
    EXPECT_TRUE(resultOf(std::string(kOk)).response);
}

// Guards against an answer that trickles and holds its request beyond the deadline.
TEST_F(HttpAnswersTest, TricklingAnswerEndsAtTheDeadline)
{
    for (const char *start :
         { "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" }) {
        onRequest = [this, start](RawPeer &it) {
            it.write(start);
            pump = loop->every(2ms, [&it] { it.write("a"); });
        };
        const auto result = request(50ms);
        pump.cancel();
        EXPECT_FALSE(result.response) << start;
        EXPECT_EQ(result.code, ErrorCode::DeadlineExceeded) << start;
        EXPECT_EQ(result.verdict, Verdict::MayHaveRun) << start;
        expectClosedAndUsable(start);
    }
}

// Guards against an answer that breaks off while the request is being written and is taken as complete.
TEST_F(HttpAnswersTest, AnswerToAnUnreadRequestCutByAResetIsNoResponse)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto &answer : { head + "\r\npart", head + "Content-Length: 9\r\n\r\npart", head }) {
        for (const bool readFirst : { true, false }) {
            const auto result = resultOfUnread(answer, Ending::Reset, readFirst);
            EXPECT_FALSE(result.response) << answer << readFirst;
            EXPECT_EQ(result.verdict, Verdict::MayHaveRun) << answer << readFirst;
        }
    }
}

// A whole answer was lost when the server closed the connection before the request was written.
TEST_F(HttpAnswersTest, WholeAnswerToAnUnreadRequestIsDelivered)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string body(50'000, 'b');
    const auto sized = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    auto unsized = head;
    unsized.append("\r\n").append(body);
    const auto expectBody = [&body](const HttpResult &result) {
        ASSERT_TRUE(result.response) << result.error;
        EXPECT_EQ(result.response->body, body);
        EXPECT_FALSE(result.connectionKept);
    };
    for (const bool readFirst : { true, false }) {
        for (const auto ending : { Ending::Open, Ending::EndOfStream, Ending::EndOfStreamThenReset, Ending::Reset }) {
            expectBody(resultOfUnread(sized, ending, readFirst));
        }
        for (const auto ending : { Ending::EndOfStream, Ending::EndOfStreamThenReset }) {
            expectBody(resultOfUnread(unsized, ending, readFirst));
        }
    }
}
