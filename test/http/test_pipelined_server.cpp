// Guards against responses out of order, requests that continue after the client has disconnected, responses lost when a connection
// closes, and limits that are not enforced.
#include "http/pipelined_server.h"

#include "link/free_port.h"
#include "runtime/raw_socket.h"

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class PipelinedServerTest : public testing::Test
{
protected:
    PipelinedServerTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_address{ "127.0.0.1", freePort() }
    {
        m_server = PipelinedServer::create(
                       *m_loop,
                       m_address,
                       [this] { return m_limits; },
                       [this](const std::shared_ptr<HttpExchange> &it) { m_exchanges.push_back(it); })
                       .value();
    }

    bool runUntil(const std::function<bool()> &done)
    {
        return m_loop->runUntil(done, seconds(5));
    }

    static HttpResponse withBody(const std::string &body)
    {
        HttpResponse response;
        response.body = body;
        return response;
    }

    SystemClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    SocketAddress m_address;
    HttpLimits m_limits;
    std::vector<std::shared_ptr<HttpExchange>> m_exchanges;
    std::unique_ptr<PipelinedServer> m_server;
};

} // namespace

TEST_F(PipelinedServerTest, StartsPipelinedRequestsAtOnceAndAnswersInOrder)
{
    auto client = RawSocket::connectTo(m_address.port);
    client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 2; }));
    m_exchanges[1]->respond(withBody("second"));
    m_exchanges[0]->respond(withBody("first"));
    ASSERT_TRUE(runUntil([&client] { return client.receivedText().find("second") != std::string::npos; }));
    EXPECT_LT(client.receivedText().find("first"), client.receivedText().find("second"));
}

TEST_F(PipelinedServerTest, NotifiesTheHandlerWhenAClientDisconnects)
{
    auto client = RawSocket::connectTo(m_address.port);
    client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 1; }));
    bool disconnected = false;
    m_exchanges[0]->setDisconnectHandler([&disconnected] { disconnected = true; });
    client.close();
    EXPECT_TRUE(runUntil([&disconnected] { return disconnected; }));
}

TEST_F(PipelinedServerTest, ClosesAfterTheLastAnswerWhileDraining)
{
    auto client = RawSocket::connectTo(m_address.port);
    client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 2; }));
    m_server->drain();
    m_exchanges[0]->respond(withBody("first"));
    m_exchanges[1]->respond(withBody("second"));
    ASSERT_TRUE(runUntil([&client] { return client.isClosed(); }));
    const auto &text = client.receivedText();
    EXPECT_LT(text.find("first"), text.find("Connection: close"));
    EXPECT_NE(text.find("second"), std::string::npos);
    EXPECT_EQ(m_server->unfinishedRequests(), 0U);
}

TEST_F(PipelinedServerTest, ClosesIdleConnectionsWhileDraining)
{
    auto client = RawSocket::connectTo(m_address.port);
    client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 1; }));
    m_exchanges[0]->respond(withBody("first"));
    m_server->drain();
    m_server->closeIdleConnections();
    EXPECT_TRUE(runUntil([&client] { return client.isClosed(); }));
}

// Guards against requests that are cut because an idle connection was closed at the start of a graceful shutdown, while its client was
// sending.
TEST_F(PipelinedServerTest, AnswersOneMoreRequestOnAnIdleConnectionWhileDraining)
{
    constexpr milliseconds kTimeOnTheWay{ 500 };
    auto client = RawSocket::connectTo(m_address.port);
    client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 1; }));
    m_exchanges[0]->respond(withBody("first"));
    m_server->drain();
    m_loop->runUntil([] { return false; }, kTimeOnTheWay);
    client.tryWrite("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 2; }));
    m_exchanges[1]->respond(withBody("second"));
    ASSERT_TRUE(runUntil([&client] { return client.isClosed(); }));
    const auto &text = client.receivedText();
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_NE(text.find("second"), std::string::npos);
}

// Guards against reading the further requests of a pipeline while draining and closing the connection without answering them.
TEST_F(PipelinedServerTest, AnswersAllRequestsOfAPipelineWhileDraining)
{
    auto client = RawSocket::connectTo(m_address.port);
    m_server->drain();
    client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 2; }));
    client.write("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    m_exchanges[0]->respond(withBody("first"));
    m_exchanges[1]->respond(withBody("second"));
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 3; }));
    m_exchanges[2]->respond(withBody("third"));
    ASSERT_TRUE(runUntil([&client] { return client.isClosed(); }));
    const auto &text = client.receivedText();
    EXPECT_LT(text.find("second"), text.find("Connection: close"));
    EXPECT_NE(text.find("third"), std::string::npos);
}

// Guards against closing a new connection before its first request has arrived.
TEST_F(PipelinedServerTest, AnswersTheFirstRequestOfAConnectionWhileClosingIdleOnes)
{
    auto client = RawSocket::connectTo(m_address.port);
    m_server->drain();
    m_server->closeIdleConnections();
    m_loop->runUntil([] { return false; }, milliseconds(500));
    client.tryWrite("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 1; }));
    m_exchanges[0]->respond(withBody("first"));
    ASSERT_TRUE(runUntil([&client] { return client.isClosed(); }));
    EXPECT_NE(client.receivedText().find("first"), std::string::npos);
}

// Guards against a reset at the end of the process, caused by unread data, that discards a response which a slow client still reads.
TEST_F(PipelinedServerTest, LingersUntilASlowClientHasReadItsResponse)
{
    constexpr int kReceiveBuffer = 4096;
    constexpr std::size_t kBodySize = 200'000;
    auto client = RawSocket::connectTo(m_address.port, kReceiveBuffer);
    client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 1; }));
    m_server->drain();
    m_exchanges[0]->respond(withBody(std::string(kBodySize, 'x')));
    const auto reading = m_loop->every(milliseconds(1), [&client] {
        client.receiveSome(1024);
        if (client.isClosedByPeer()) {
            client.close();
        }
    });
    ASSERT_TRUE(runUntil([this] { return m_server->unfinishedRequests() == 0 && m_server->lingeringConnections() == 0; }));
    client.tryWrite("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    m_server.reset();
    runUntil([&client] { return client.isClosedByPeer(); });
    const auto &text = client.receivedSoFar();
    EXPECT_EQ(text.size() - text.find("\r\n\r\n") - 4, kBodySize);
}

TEST_F(PipelinedServerTest, KeepsTheOrderWhenABadRequestFollows)
{
    auto client = RawSocket::connectTo(m_address.port);
    client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 1; }));
    m_exchanges[0]->respond(withBody("first"));
    ASSERT_TRUE(runUntil([&client] { return client.isClosed(); }));
    EXPECT_LT(client.receivedText().find("first"), client.receivedText().find("400 Bad Request"));
}

TEST_F(PipelinedServerTest, AnswersLargeHeadersWith431AndLargeBodiesWith413)
{
    m_limits.maxHeaderBytes = 100;
    m_limits.maxBodyBytes = 10;
    auto headers = RawSocket::connectTo(m_address.port);
    headers.write("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
    auto body = RawSocket::connectTo(m_address.port);
    body.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n" + std::string(20, 'x'));
    ASSERT_TRUE(runUntil([&] { return headers.isClosed() && body.isClosed(); }));
    EXPECT_NE(headers.receivedText().find("431"), std::string::npos);
    EXPECT_NE(body.receivedText().find("413"), std::string::npos);
    EXPECT_TRUE(m_exchanges.empty());
}

TEST_F(PipelinedServerTest, RefusesARequestWhoseHeadersDoNotComeInTime)
{
    m_limits.headerTimeout = milliseconds(100);
    auto client = RawSocket::connectTo(m_address.port);
    client.write("GET /a HTTP/1.1\r\nHost:");
    ASSERT_TRUE(runUntil([&client] { return client.isClosed(); }));
    EXPECT_NE(client.receivedText().find("408"), std::string::npos);
}

// Guards against status 408 for a body that takes longer than the idle limit although its data keeps arriving.
TEST_F(PipelinedServerTest, AcceptsABodyThatKeepsArrivingForLongerThanTheIdleLimit)
{
    m_limits.idleTimeout = milliseconds(500);
    auto client = RawSocket::connectTo(m_address.port);
    client.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n");
    int sent = 0;
    const auto sending = m_loop->every(milliseconds(100), [&] {
        if (sent++ < 12) {
            client.write("x");
        }
    });
    ASSERT_TRUE(runUntil([&] { return m_exchanges.size() == 1 || client.isClosed(); }));
    ASSERT_EQ(m_exchanges.size(), 1U) << client.receivedText();
    EXPECT_EQ(m_exchanges[0]->request().body.size(), 12U);
}

// Guards against an idle limit that data of a body never reaches: a client that stops within a body is refused.
TEST_F(PipelinedServerTest, RefusesABodyThatStopsForLongerThanTheIdleLimit)
{
    m_limits.idleTimeout = milliseconds(200);
    auto client = RawSocket::connectTo(m_address.port);
    client.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\nxx");
    ASSERT_TRUE(runUntil([&client] { return client.isClosed(); }));
    EXPECT_NE(client.receivedText().find("408"), std::string::npos);
}

TEST_F(PipelinedServerTest, ClosesAConnectionThatIsIdleForTooLong)
{
    m_limits.idleTimeout = milliseconds(100);
    auto client = RawSocket::connectTo(m_address.port);
    EXPECT_TRUE(runUntil([&client] { return client.isClosed(); }));
    EXPECT_EQ(client.receivedText(), "");
}

TEST_F(PipelinedServerTest, HonoursConnectionCloseOfTheClient)
{
    auto client = RawSocket::connectTo(m_address.port);
    client.write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 1; }));
    m_exchanges[0]->respond(withBody("only"));
    ASSERT_TRUE(runUntil([&client] { return client.isClosed(); }));
    EXPECT_NE(client.receivedText().find("Connection: close"), std::string::npos);
}

TEST_F(PipelinedServerTest, AsksForABodyThatWaitsForContinue)
{
    auto client = RawSocket::connectTo(m_address.port);
    client.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    ASSERT_TRUE(runUntil([&client] { return client.receivedText().find("100 Continue") != std::string::npos; }));
    client.write("ok");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 1; }));
    EXPECT_EQ(m_exchanges[0]->request().body, "ok");
}

// Guards against a client that stops reading and thereby holds its responses for ever.
TEST_F(PipelinedServerTest, ClosesAConnectionWhoseClientReadsNothingForTheIdleTime)
{
    constexpr std::size_t kMoreThanSocketBuffers = 32U << 20U;
    m_limits.idleTimeout = milliseconds(400);
    auto client = RawSocket::connectTo(m_address.port, 4096);
    client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_exchanges.size() == 1; }));
    m_exchanges[0]->respond(withBody(std::string(kMoreThanSocketBuffers, 'x')));
    EXPECT_GT(m_server->unfinishedRequests(), 0U);
    EXPECT_TRUE(runUntil([this] { return m_server->unfinishedRequests() == 0; }));
}
