// Guards against answers of a faulty backend server that are attributed to another request.
#include "raw_server.h"

#include "runtime/http_client.h"

using namespace Toucandeck;
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
        server = std::make_unique<RawServer>(*loop, [this](RawPeer &it) { onRequest(it); });
        client = std::make_unique<HttpClient>(*loop, HttpClientOptions(), logger);
    }

    void TearDown() override
    {
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

    RecordingLogger logger;
    std::unique_ptr<RawServer> server;
    std::unique_ptr<HttpClient> client;
    std::function<void(RawPeer &)> onRequest;
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
