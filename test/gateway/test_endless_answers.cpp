// Guards against a faulty backend server whose answers without end, on many connections at once, take the memory of the VM, so that the
// gateway ends and the requests of other clients with it.
#include "gateway/backend_runner.h"
#include "gateway/flooding_server.h"

#include "gateway/fakes.h"
#include "link/free_port.h"

#include <gtest/gtest.h>
#include <malloc.h>

using namespace Toucandeck;
using std::chrono::seconds;

namespace
{

constexpr int kConcurrentCalls = 40;
constexpr std::uint64_t kCalls = 400;
constexpr std::size_t kVmMemory = 260U << 20U; ///< Bytes; a process that uses more is ended.
const std::string kHead = "HTTP/1.1 200 OK\r\n";

std::size_t allocatedBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

struct EndlessAnswer
{
    const char *name;
    std::string start;
    std::string unit;
};

std::ostream &operator<<(std::ostream &out, const EndlessAnswer &it)
{
    return out << it.name;
}

class EndlessAnswersTest : public testing::TestWithParam<EndlessAnswer>
{
protected:
    EndlessAnswersTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_address{ "127.0.0.1", freePort() }
        , m_server(m_address, GetParam().start, GetParam().unit)
        , m_runner(*m_loop, m_logger, m_headers, m_address)
    {
    }

    /// Each call that ends is followed by another one.
    void startCall()
    {
        auto call = callNamed(std::to_string(++m_startedCalls), m_clock);
        call.deadline = m_clock.now() + seconds(60);
        call.request.method = "GET";
        call.request.target = "/";
        m_runner.run(m_startedCalls, call, [this](const CallResult &result) {
            EXPECT_EQ(result.outcome, wire::MAY_HAVE_RUN);
            ++m_endedCalls;
            m_mostBytes = std::max(m_mostBytes, allocatedBytes());
            if (m_startedCalls < kCalls) {
                startCall();
            }
        });
    }

    SystemClock m_clock;
    NullLogger m_logger;
    HeaderNames m_headers;
    std::unique_ptr<EventLoop> m_loop;
    SocketAddress m_address;
    FloodingServer m_server;
    BackendRunner m_runner;
    std::uint64_t m_startedCalls = 0;
    std::uint64_t m_endedCalls = 0;
    std::size_t m_mostBytes = 0;
};

std::vector<EndlessAnswer> endlessAnswers()
{
    return {
        { "BodyWithoutLength", kHead + "\r\n", "body" },
        { "ChunkedBody", kHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + std::string(1024, 'b') + "\r\n" },
        { "HeaderLines", kHead, "a:\r\n" },
        { "HeaderValue", kHead + "X-Filler: ", "value" },
        { "InterimAnswers", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { "NoHttp", "", "\x01" },
    };
}

} // namespace

TEST_P(EndlessAnswersTest, OnManyConnectionsTakeLittleMemory)
{
    const auto before = allocatedBytes();
    for (int i = 0; i < kConcurrentCalls; ++i) {
        startCall();
    }
    EXPECT_TRUE(m_loop->runUntil([this] { return m_endedCalls == kCalls; }, seconds(60)));
    EXPECT_LT(m_mostBytes - std::min(before, m_mostBytes), kVmMemory);
}

INSTANTIATE_TEST_SUITE_P(All, EndlessAnswersTest, testing::ValuesIn(endlessAnswers()), [](const auto &it) {
    return std::string(it.param.name);
});
