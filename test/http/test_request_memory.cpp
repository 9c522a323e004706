// Guards against clients that together occupy more memory than the process has, and against refusals of ordinary requests before larger
// ones.
#include "http/pipelined_server.h"

#include "link/free_port.h"
#include "runtime/raw_socket.h"

#include <fmt/format.h>

using namespace Toucandeck;
using std::chrono::seconds;

namespace
{

constexpr std::size_t kLimit = 1U << 20U;

class Client : public RequestMemory::User
{
public:
    explicit Client(RequestMemory &memory)
        : m_memory(memory)
    {
    }

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    ~Client() override
    {
        m_memory.set(*this, 0);
    }

    void giveWay() override
    {
        gaveWay = true;
    }

    bool gaveWay = false;

private:
    RequestMemory &m_memory;
};

} // namespace

TEST(RequestMemory, TheLargestGivesWayToASmallerOne)
{
    const auto memory = RequestMemory::create(kLimit);
    Client large(*memory);
    Client middle(*memory);
    Client small(*memory);
    EXPECT_TRUE(memory->set(large, kLimit / 2));
    EXPECT_TRUE(memory->set(middle, kLimit / 3));
    EXPECT_TRUE(memory->set(small, kLimit / 4));
    EXPECT_TRUE(large.gaveWay);
    EXPECT_FALSE(middle.gaveWay);
    EXPECT_LE(memory->bytes(), kLimit);
}

TEST(RequestMemory, TheLargestItselfGivesWayIfItDoesNotFit)
{
    const auto memory = RequestMemory::create(kLimit);
    Client first(*memory);
    Client second(*memory);
    EXPECT_TRUE(memory->set(first, kLimit / 2));
    EXPECT_FALSE(memory->set(second, kLimit));
    EXPECT_FALSE(first.gaveWay);
    EXPECT_EQ(memory->refusals(), 1U);
}

TEST(RequestMemory, RequestsInProgressAreRefusedBeyondTheLimitAndNeverGiveWay)
{
    const auto memory = RequestMemory::create(kLimit);
    std::vector<std::unique_ptr<RequestMemory::Reservation>> reservations;
    while (auto it = memory->reserve(kLimit / 16)) {
        reservations.push_back(std::move(it));
        ASSERT_LE(memory->bytes(), kLimit);
    }
    EXPECT_GT(reservations.size(), 0U);
    EXPECT_TRUE(memory->reserve(100)) << "a small request has room that large ones do not get";
    reservations.pop_back();
    EXPECT_TRUE(memory->reserve(kLimit / 16));
}

TEST(RequestMemory, OneLargeRequestIsInProgressAtATime)
{
    const auto memory = RequestMemory::create(kLimit);
    auto first = memory->reserve(kLimit / 3);
    EXPECT_TRUE(first);
    EXPECT_FALSE(memory->reserve(kLimit / 3));
    first.reset();
    EXPECT_TRUE(memory->reserve(kLimit / 3));
    EXPECT_EQ(memory->bytes(), 0U);
}

namespace
{

class MemoryLimitTest : public testing::Test
{
protected:
    MemoryLimitTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_address{ "127.0.0.1", freePort() }
        , m_memory(RequestMemory::create(kLimit))
    {
        const auto handler = [this](const std::shared_ptr<HttpExchange> &it) {
            ++m_requests;
            HttpResponse response;
            response.body = std::string(m_responseBytes, 'x');
            it->respond(std::move(response));
        };
        m_server = PipelinedServer::create(
                       *m_loop,
                       m_address,
                       [] {
                           return HttpLimits{ 16U << 10U, 64U << 20U };
                       },
                       handler,
                       m_memory)
                       .value();
    }

    bool runUntil(const std::function<bool()> &done)
    {
        return m_loop->runUntil(done, seconds(5));
    }

    /// Sends until everything is sent or the connection is closed.
    void sendAll(RawSocket &client, const std::string &text)
    {
        std::size_t n = 0;
        runUntil([&] {
            n += client.tryWrite(std::string_view(text).substr(n));
            return n == text.size() || client.isClosed();
        });
    }

    bool isServed()
    {
        auto client = RawSocket::connectTo(m_address.port);
        client.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        return runUntil([&client] { return client.receivedText().find(" 200 ") != std::string::npos; });
    }

    SystemClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    SocketAddress m_address;
    std::shared_ptr<RequestMemory> m_memory;
    std::size_t m_responseBytes = 10;
    int m_requests = 0;
    std::unique_ptr<PipelinedServer> m_server;
};

} // namespace

// Guards against unfinished bodies that together exceed the limit, and against a refusal of a request that has run.
TEST_F(MemoryLimitTest, RefusesTheLargestUnfinishedBodyWithRetryAfterAndServesOthers)
{
    auto client = RawSocket::connectTo(m_address.port);
    sendAll(client, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n" + std::string(2 * kLimit, 'x'));
    ASSERT_TRUE(runUntil([&client] { return client.receivedText().find(" 503 ") != std::string::npos; }));
    EXPECT_NE(client.receivedText().find("Retry-After: "), std::string::npos);
    EXPECT_EQ(m_requests, 0);
    EXPECT_LE(m_memory->bytes(), kLimit);
    EXPECT_TRUE(isServed());
}

// Guards against fields that occupy many times the bytes in which they are sent.
TEST_F(MemoryLimitTest, CountsShortFieldsByTheMemoryThatTheyOccupy)
{
    auto client = RawSocket::connectTo(m_address.port);
    std::string head = "GET /a HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < 5000; ++i) {
        head += "a:\r\n";
    }
    sendAll(client, head);
    EXPECT_TRUE(runUntil([this] { return m_memory->bytes() >= 5000 * sizeof(HttpHeader); }));
    client.close();
    EXPECT_TRUE(runUntil([this] { return m_memory->bytes() == 0; }));
}

// Guards against a client that sends requests ahead without reading the responses.
TEST_F(MemoryLimitTest, StopsReadingFromAClientThatDoesNotRead)
{
    m_responseBytes = 10'000;
    auto client = RawSocket::connectTo(m_address.port, 4096);
    std::string text;
    for (int i = 0; i < 20'000; ++i) {
        text += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    sendAll(client, text);
    constexpr std::size_t kUnreadBytes = 200'000;
    ASSERT_TRUE(runUntil([this] { return m_memory->bytes() > kUnreadBytes; }));
    m_loop->runUntil([] { return false; }, seconds(1));
    EXPECT_LE(m_memory->bytes(), kLimit);
    EXPECT_LT(m_requests, 20'000);
    EXPECT_GT(m_server->unfinishedRequests(), 0U) << "the connection has been closed";
    EXPECT_TRUE(isServed());
}
