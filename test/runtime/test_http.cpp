// Guards against truncated, mixed up or repeated HTTP requests and responses, and against input that exhausts the server.
#include "loopback.h"
#include "raw_socket.h"

#include "runtime/http_client.h"
#include "runtime/http_server.h"

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

struct HttpTest : LoopFixture
{
    void SetUp() override
    {
        LoopFixture::SetUp();
        server = valueOf(HttpServer::create(*loop, options, logger));
        server->setHandler([this](const std::shared_ptr<HttpExchange> &it) { exchanges.push_back(it); });
        client = std::make_unique<HttpClient>(*loop, HttpClientOptions{}, logger);
    }

    void TearDown() override
    {
        exchanges.clear();
        client.reset();
        server.reset();
    }

    HttpClient::RequestId send(HttpRequest request, Duration timeout = 10s)
    {
        return client->send(server->address(), std::move(request), timeout, [this](HttpResult it) { results.push_back(std::move(it)); });
    }

    bool untilExchanges(std::size_t n)
    {
        return runUntil([&] { return exchanges.size() == n; });
    }

    bool untilResults(std::size_t n)
    {
        return runUntil([&] { return results.size() == n; });
    }

    /// Response of the server to these bytes, read until it closes the connection or has sent @p enough.
    std::string answerTo(const std::string &bytes, const std::string &enough)
    {
        auto raw = RawSocket::connectTo(server->port());
        raw.write(bytes);
        const auto timer = loop->every(1ms, [] {});
        EXPECT_TRUE(runUntil([&] { return raw.receivedText().find(enough) != std::string::npos || raw.isStreamEnded(); }));
        return raw.receivedSoFar();
    }

    HttpServerOptions options;
    RecordingLogger logger;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpClient> client;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    std::vector<HttpResult> results;
};

} // namespace

TEST_F(HttpTest, PassesMethodTargetHeadersAndBodyBothWays)
{
    send({ "PATCH", "/a/b?c=d", { { "X-One", "1" }, { "Connection", "upgrade" } }, std::string("body\0x", 6) });
    ASSERT_TRUE(untilExchanges(1));
    const auto &got = exchanges[0]->request();
    EXPECT_EQ(got.method, "PATCH");
    EXPECT_EQ(got.path(), "/a/b");
    EXPECT_EQ(got.query(), "c=d");
    EXPECT_EQ(got.header("x-one"), "1");
    EXPECT_EQ(got.body, std::string("body\0x", 6));
    exchanges[0]->respond({ 409, { { "X-Two", "2" }, { "X-Bad", "a\r\nX-Injected: 1" } }, "answer" });
    ASSERT_TRUE(untilResults(1));
    ASSERT_TRUE(results[0].response);
    EXPECT_EQ(results[0].verdict, Verdict::Ran);
    EXPECT_EQ(results[0].response->status, 409);
    EXPECT_EQ(results[0].response->header("x-two"), "2");
    EXPECT_FALSE(results[0].response->header("X-Injected"));
    EXPECT_EQ(results[0].response->body, "answer");
    EXPECT_EQ(client->idleConnections(server->address()), 1U);
}

// Guards against a header value of a caller that adds a header to the request.
TEST_F(HttpTest, RequestHeaderWithALineBreakIsNotSent)
{
    send({ "POST", "/", { { "X-Bad", "a\r\nX-Injected: 1" }, { "X-Bad\nX-Injected", "1" }, { "X-Good", "1" } }, {} });
    ASSERT_TRUE(untilExchanges(1));
    EXPECT_FALSE(exchanges[0]->request().header("X-Injected"));
    EXPECT_FALSE(exchanges[0]->request().header("X-Bad"));
    EXPECT_EQ(exchanges[0]->request().header("X-Good"), "1");
    EXPECT_EQ(exchanges[0]->request().header("Content-Length"), "0");
}

TEST_F(HttpTest, AnswersInAnyOrderReachTheirOwnRequest)
{
    std::map<std::string, std::string> bodies;
    for (int i = 0; i < 100; ++i) {
        const auto path = "/" + std::to_string(i);
        client->send(server->address(), { "GET", path, {}, {} }, 10s, [&bodies, path](const HttpResult &it) {
            bodies[path] = it.response.value().body;
        });
    }
    ASSERT_TRUE(untilExchanges(100));
    for (; !exchanges.empty(); exchanges.pop_back()) {
        exchanges.back()->respond({ 200, {}, exchanges.back()->request().target });
    }
    ASSERT_TRUE(runUntil([&] { return bodies.size() == 100; }));
    for (const auto &[path, body] : bodies) {
        EXPECT_EQ(path, body);
    }
}

TEST_F(HttpTest, OversizedBodyGets413WithVerdict)
{
    const std::string large(options.maxBodyBytes + 1, 'x');
    send({ "POST", "/", {}, large });
    ASSERT_TRUE(untilResults(1));
    ASSERT_TRUE(results[0].response);
    EXPECT_EQ(results[0].response->status, 413);
    EXPECT_EQ(results[0].response->header("Toucandeck-Verdict"), "not-run");
    send({ "POST", "/", {}, large.substr(1) });
    EXPECT_TRUE(untilExchanges(1));
}

TEST_F(HttpTest, OversizedBodyGetsAVerdictAlsoOnAReusedConnection)
{
    send({ "GET", "/", {}, "" });
    ASSERT_TRUE(untilExchanges(1));
    exchanges[0]->respond({ 200, {}, "first" });
    ASSERT_TRUE(untilResults(1));
    send({ "POST", "/", {}, std::string(options.maxBodyBytes + 1, 'x') });
    ASSERT_TRUE(untilResults(2));
    ASSERT_TRUE(results[1].response);
    EXPECT_EQ(results[1].response->status, 413);
    EXPECT_EQ(results[1].response->header("Toucandeck-Verdict"), "not-run");
}

TEST_F(HttpTest, MalformedInputGets400WithVerdict)
{
    const std::vector<std::string> inputs{ "nonsense\r\n\r\n",
                                           "GET / HTTP/1.1\r\nno colon\r\n\r\n",
                                           "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                                           "POST / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
                                           "GET relative HTTP/1.1\r\n\r\n" };
    for (const auto &it : inputs) {
        const auto text = answerTo(it, "\r\n\r\n");
        EXPECT_NE(text.find(" 400 "), std::string::npos) << it << text;
        EXPECT_NE(text.find("Toucandeck-Verdict: not-run\r\n"), std::string::npos) << it << text;
    }
    EXPECT_NE(answerTo("TRACE / HTTP/1.1\r\n\r\n", "\r\n\r\n").find("Toucandeck-Verdict: not-run"), std::string::npos);
    EXPECT_NE(answerTo("GET / HTTP/1.1\r\nX: " + std::string(options.maxHeaderBytes, 'x') + "\r\n\r\n", "\r\n\r\n")
                  .find("Toucandeck-Verdict: not-run"),
              std::string::npos);
    EXPECT_TRUE(exchanges.empty());
}

TEST_F(HttpTest, TruncatedRequestIsNeverHandled)
{
    {
        const auto raw = RawSocket::connectTo(server->port());
        raw.write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    }
    send({});
    ASSERT_TRUE(untilExchanges(1));
    EXPECT_EQ(exchanges[0]->request().method, "GET");
}

TEST_F(HttpTest, ClientCloseIsDetectedWhileTheResponseIsPending)
{
    auto raw = RawSocket::connectTo(server->port());
    raw.write("GET / HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(untilExchanges(1));
    bool closed = false;
    exchanges[0]->onClosed([&] { closed = true; });
    raw.close();
    ASSERT_TRUE(runUntil([&] { return closed; }));
    EXPECT_TRUE(exchanges[0]->isClosed());
    EXPECT_EQ(server->inFlight(), 0U);
    exchanges[0]->respond({});
}

TEST_F(HttpTest, StalePersistentConnectionIsReplacedBeforeAnythingIsWritten)
{
    send({});
    ASSERT_TRUE(untilExchanges(1));
    exchanges[0]->respond({});
    ASSERT_TRUE(untilResults(1));
    options.port = server->port();
    server.reset(); // Closes the idle connection; the loop does not run before the next send.
    server = valueOf(HttpServer::create(*loop, options, logger));
    server->setHandler([](const std::shared_ptr<HttpExchange> &it) { it->respond({ 201, {}, {} }); });
    send({ "POST", "/", {}, "x" });
    ASSERT_TRUE(untilResults(2));
    ASSERT_TRUE(results[1].response);
    EXPECT_EQ(results[1].response->status, 201);
    EXPECT_EQ(client->staleConnections(), 1U);
}

TEST_F(HttpTest, VerdictOfAFailureTellsWhetherTheRequestWasWritten)
{
    const auto address = server->address();
    send({});
    ASSERT_TRUE(untilExchanges(1));
    exchanges.clear();
    server.reset();
    ASSERT_TRUE(untilResults(1));
    EXPECT_EQ(results[0].verdict, Verdict::MayHaveRun);
    client->send(address, {}, 10s, [this](HttpResult it) { results.push_back(std::move(it)); });
    ASSERT_TRUE(untilResults(2));
    EXPECT_EQ(results[1].verdict, Verdict::NotRun);
    EXPECT_EQ(results[1].code, ErrorCode::Unavailable);
}

TEST_F(HttpTest, TimeoutAndCancelCloseTheConnection)
{
    send({ "GET", "/slow", {}, {} }, 1ms);
    ASSERT_TRUE(untilResults(1));
    EXPECT_EQ(results[0].code, ErrorCode::DeadlineExceeded);
    const auto before = exchanges.size();
    const auto id = send({ "GET", "/cancelled", {}, {} });
    ASSERT_TRUE(untilExchanges(before + 1));
    bool closed = false;
    exchanges.back()->onClosed([&] { closed = true; });
    EXPECT_TRUE(client->cancel(id));
    EXPECT_TRUE(runUntil([&] { return closed; }));
    EXPECT_EQ(results.size(), 1U);
    EXPECT_EQ(client->connections(server->address()), 0U);
}

TEST_F(HttpTest, ConnectionsAreBounded)
{
    client->setMaxConnections(2);
    for (int i = 0; i < 3; ++i) {
        send({});
    }
    ASSERT_TRUE(untilResults(1));
    EXPECT_EQ(results[0].code, ErrorCode::Overloaded);
    EXPECT_EQ(results[0].verdict, Verdict::NotRun);
}

TEST_F(HttpTest, GracefulStopFinishesAnswersInProgress)
{
    send({});
    ASSERT_TRUE(untilExchanges(1));
    bool stopped = false;
    server->stop([&] { stopped = true; });
    bool lingerElapsed = false;
    const auto timer = loop->after(2 * options.stopLinger, [&] { lingerElapsed = true; });
    ASSERT_TRUE(runUntil([&] { return lingerElapsed; }));
    EXPECT_FALSE(stopped);
    exchanges[0]->respond({ 200, {}, std::string(500'000, 'y') });
    ASSERT_TRUE(runUntil([&] { return stopped; }));
    ASSERT_TRUE(untilResults(1));
    ASSERT_TRUE(results[0].response);
    EXPECT_EQ(results[0].response->body.size(), 500'000U);
    EXPECT_EQ(results[0].response->header("Connection"), "close");
}
