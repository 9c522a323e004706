// Guards against requests reported as not run although the backend server runs them, and against responses without end that take all
// memory.
#include "gateway/backend_runner.h"

#include "gateway/fakes.h"
#include "link/free_port.h"
#include "link/listener.h"
#include "runtime/raw_socket.h"

using namespace Toucandeck;
using std::chrono::seconds;

namespace
{

class BackendRunnerTest : public testing::Test
{
protected:
    BackendRunnerTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_address{ "127.0.0.1", freePort() }
        , m_runner(*m_loop, m_logger, m_headers, m_address)
    {
        m_listener = Listener::listen(*m_loop, m_address, [this](int descriptor, const std::string &) {
                         m_accepted.emplace_back(descriptor);
                     }).value();
    }

    /// Runs a call and waits until the backend server has received its head. Returns the index of the connection that carries it.
    std::size_t run(const std::string &id, const std::string &body = {})
    {
        auto call = callNamed(id, m_clock);
        call.deadline = m_clock.now() + m_timeLimit;
        call.idempotent = m_idempotent;
        call.request.method = "POST";
        call.request.target = "/" + std::to_string(++m_lastCall);
        call.request.body = body;
        call.request.headers.push_back({ m_headers.requestId, id });
        m_result.reset();
        m_runner.run(m_lastCall, call, [this](CallResult result) { m_result = std::move(result); });
        std::size_t carrier = 0;
        EXPECT_TRUE(runUntil([this, &call, &carrier] {
            for (carrier = 0; carrier < m_accepted.size(); ++carrier) {
                if (m_accepted[carrier].receivedText().find("POST " + call.request.target + " ") != std::string::npos) {
                    return true;
                }
            }
            return false;
        }));
        return carrier;
    }

    bool runUntil(const std::function<bool()> &done)
    {
        return m_loop->runUntil(done, seconds(5));
    }

    CallResult answer(std::size_t carrier, const std::string &text)
    {
        m_accepted.at(carrier).write(text);
        EXPECT_TRUE(runUntil([this] { return m_result.has_value(); }));
        return m_result.value_or(CallResult{});
    }

    static std::string idLine(const std::string &id)
    {
        return id.empty() ? "" : "Toucandeck-Request-Id: " + id + "\r\n";
    }

    static std::string success(const std::string &id)
    {
        return "HTTP/1.1 200 OK\r\n" + idLine(id) + "Toucandeck-Answer-Seal: s\r\nContent-Length: 2\r\n\r\nok";
    }

    static std::string refusal(const std::string &id)
    {
        return "HTTP/1.1 503 Busy\r\n" + idLine(id) + "Toucandeck-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    /// Value of a field in the last log line of this name; empty if there is none.
    std::string logged(const std::string &event, const std::string &name) const
    {
        std::string value;
        for (const auto &entry : m_logger.entries()) {
            for (const auto &it : entry.fields) {
                value = entry.name == event && it.name == name ? it.value : value;
            }
        }
        return value;
    }

    SystemClock m_clock;
    RecordingLogger m_logger;
    HeaderNames m_headers;
    std::unique_ptr<EventLoop> m_loop;
    SocketAddress m_address;
    BackendRunner m_runner;
    std::vector<RawSocket> m_accepted;
    std::unique_ptr<Listener> m_listener;
    std::optional<CallResult> m_result;
    std::uint64_t m_lastCall = 0;
    Duration m_timeLimit = seconds(60); ///< Of the calls.
    bool m_idempotent = false; ///< Of the calls.
};

} // namespace

// A refusal without an id, written once more on a kept connection, was taken for the refusal of the request in progress.
TEST_F(BackendRunnerTest, ARefusalWithoutIdOnAKeptConnectionMayHaveRun)
{
    answer(run("one"), success("one"));
    const auto carrier = run("two");
    EXPECT_EQ(carrier, 0U);
    EXPECT_EQ(answer(carrier, refusal("")).outcome, wire::MAY_HAVE_RUN);
    EXPECT_EQ(m_result->reason, wire::BAD_ANSWER);
    EXPECT_EQ(logged("response_rejected", "cause"), "refusal_of_unknown_request");
    EXPECT_EQ(run("three"), 1U);
}

// The same with status 421 and without the header that states that the request was not run.
TEST_F(BackendRunnerTest, AStatus421WithoutIdOnAKeptConnectionMayHaveRun)
{
    answer(run("one"), success("one"));
    const auto result = answer(run("two"), "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(result.outcome, wire::MAY_HAVE_RUN);
}

// Failure: a status that promises "not run" reached the client of a request that had run, and a 421 sent it to a second backend server.
TEST_F(BackendRunnerTest, AStatusThatPromisesNotRunWithoutTheStatementMayHaveRun)
{
    for (const std::string status : { "408", "421", "429", "503" }) {
        const auto id = "id-" + status;
        const auto carrier = run(id);
        const auto result = answer(carrier, "HTTP/1.1 " + status + " No\r\n" + idLine(id) + "Content-Length: 0\r\n\r\n");
        EXPECT_EQ(result.outcome, wire::MAY_HAVE_RUN) << status;
        EXPECT_EQ(result.reason, wire::UNCONFIRMED_REFUSAL) << status;
        EXPECT_EQ(logged("response_rejected", "cause"), "unconfirmed_refusal") << status;
        EXPECT_EQ(carrier, 0U) << status; // The response was sound, so its connection carries the next request.
    }
}

TEST_F(BackendRunnerTest, AStatusThatPromisesNotRunIsTheAnswerToARequestThatMayBeRepeated)
{
    m_idempotent = true;
    for (const int status : { 408, 421, 429, 503 }) {
        const auto id = "id-" + std::to_string(status);
        const auto result = answer(run(id), "HTTP/1.1 " + std::to_string(status) + " No\r\n" + idLine(id) + "Content-Length: 0\r\n\r\n");
        EXPECT_EQ(result.outcome, wire::ANSWERED) << status;
        EXPECT_EQ(result.response.status, status);
    }
}

// The refusal of a request, written once more, was taken for the refusal of its second attempt on the same connection.
TEST_F(BackendRunnerTest, ARefusedRequestIsSentAgainOnAnotherConnection)
{
    EXPECT_EQ(answer(run("one"), refusal("one")).outcome, wire::NOT_RUN);
    const auto carrier = run("one");
    EXPECT_EQ(carrier, 1U);
    m_accepted[0].write(refusal("one"));
    EXPECT_EQ(answer(carrier, success("one")).outcome, wire::ANSWERED);
}

// The same for a refusal that was written once more before another request followed on the connection.
TEST_F(BackendRunnerTest, ARefusedRequestIsNotSentAgainOnItsConnectionAfterOtherRequests)
{
    answer(run("one"), refusal("one"));
    EXPECT_EQ(run("two"), 0U);
    answer(0, success("two"));
    EXPECT_EQ(run("one"), 1U);
}

// A refusal that names another request was taken for the refusal of a request without an id.
TEST_F(BackendRunnerTest, ARefusalOfAnotherRequestDoesNotRefuseARequestWithoutId)
{
    answer(run("one"), refusal("one"));
    EXPECT_EQ(answer(run(""), refusal("one")).outcome, wire::MAY_HAVE_RUN);
}

// A late response to another request shows that a refusal without an id need not belong to the request in progress either.
TEST_F(BackendRunnerTest, ARefusalWithoutIdAfterALateResponseMayHaveRun)
{
    const auto result = answer(run("two"), success("one") + refusal(""));
    EXPECT_EQ(result.outcome, wire::MAY_HAVE_RUN);
    EXPECT_EQ(logged("response_dropped", "named"), "one");
}

TEST_F(BackendRunnerTest, ARefusalWithoutIdAsFirstResponseOfAConnectionIsNotRun)
{
    EXPECT_EQ(answer(run("one"), "HTTP/1.1 100 Continue\r\n\r\n" + refusal("")).outcome, wire::NOT_RUN);
}

TEST_F(BackendRunnerTest, ARefusalWithItsIdKeepsTheConnection)
{
    answer(run("one"), refusal("one"));
    EXPECT_EQ(answer(run("two"), refusal("two")).outcome, wire::NOT_RUN);
    EXPECT_EQ(run("three"), 0U);
    EXPECT_EQ(m_runner.openedConnections(), 1U);
}

TEST_F(BackendRunnerTest, TheAnswerAfterARepeatedRefusalIsDelivered)
{
    answer(run("one"), refusal("one"));
    const auto result = answer(run("two"), refusal("one") + success("two"));
    EXPECT_EQ(result.outcome, wire::ANSWERED);
    EXPECT_EQ(result.response.body, "ok");
    EXPECT_EQ(run("three"), 1U);
}

TEST_F(BackendRunnerTest, ARefusalWithFurtherBytesClosesTheConnection)
{
    EXPECT_EQ(answer(run("one"), refusal("one") + refusal("one")).outcome, wire::NOT_RUN);
    EXPECT_EQ(run("two"), 1U);
}

// An early refusal is valid, but the rest of the body must not be taken for the next request.
TEST_F(BackendRunnerTest, ARefusalBeforeTheBodyWasReadClosesTheConnection)
{
    constexpr std::size_t kBodyBytes = 32U << 20U;
    EXPECT_EQ(answer(run("one", std::string(kBodyBytes, 'b')), refusal("one")).outcome, wire::NOT_RUN);
    EXPECT_EQ(run("two"), 1U);
}

TEST_F(BackendRunnerTest, LogsWhereAResponseWasCut)
{
    m_accepted.at(run("one")).write("HTTP/1.1 200 OK\r\nToucandeck-Answer-Seal: s\r\nContent-Le");
    m_accepted.back().close();
    ASSERT_TRUE(runUntil([this] { return m_result.has_value(); }));
    EXPECT_EQ(m_result->outcome, wire::MAY_HAVE_RUN);
    EXPECT_EQ(logged("response_rejected", "cause"), "truncated_head");
    m_accepted.at(run("two")).write("HTTP/1.1 200 OK\r\nToucandeck-Answer-Seal: s\r\nContent-Length: 2\r\n\r\no");
    m_accepted.back().reset();
    ASSERT_TRUE(runUntil([this] { return m_result.has_value(); }));
    EXPECT_EQ(m_result->outcome, wire::MAY_HAVE_RUN);
    EXPECT_EQ(logged("response_rejected", "cause"), "truncated_body");
}

TEST_F(BackendRunnerTest, ConnectionsAreReplacedAfterManyRefusals)
{
    constexpr int kRefusals = 600;
    for (int i = 0; i < kRefusals; ++i) {
        const auto id = "r" + std::to_string(i);
        ASSERT_EQ(answer(run(id), refusal(id)).outcome, wire::NOT_RUN);
    }
    EXPECT_GT(m_runner.openedConnections(), 1U);
    EXPECT_LT(m_runner.openedConnections(), 10U);
}

// A body without end grew until the memory of the process was used up.
TEST_F(BackendRunnerTest, AnEndlessBodyEndsItsCallAndTheNextOneIsServed)
{
    constexpr std::size_t kEnoughBytes = 64U << 20U;
    auto &server = m_accepted.at(run("one"));
    server.write("HTTP/1.1 200 OK\r\nToucandeck-Answer-Seal: s\r\n\r\n");
    std::size_t sent = 0;
    runUntil([this, &server, &sent] {
        sent += server.tryWrite(std::string(64U << 10U, 'b'));
        return m_result.has_value() || sent > kEnoughBytes;
    });
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->outcome, wire::MAY_HAVE_RUN);
    EXPECT_EQ(m_result->reason, wire::BAD_ANSWER);
    EXPECT_EQ(logged("response_rejected", "cause"), "body_too_large");
    EXPECT_EQ(answer(run("two"), success("two")).outcome, wire::ANSWERED);
}

TEST_F(BackendRunnerTest, LogsAHeadWithoutEnd)
{
    auto &server = m_accepted.at(run("one"));
    runUntil([this, &server] {
        server.tryWrite("HTTP/1.1 103 Early Hints\r\n\r\n");
        return m_result.has_value();
    });
    EXPECT_EQ(logged("response_rejected", "cause"), "head_too_large");
}

// Several responses, each below the limit of one, used up the memory of the process together.
TEST_F(BackendRunnerTest, LargeResponsesInProgressTogetherDoNotPreventOrdinaryOnes)
{
    constexpr int kLargeResponses = 12;
    const std::string body(7U << 20U, 'b');
    for (int i = 0; i < kLargeResponses; ++i) {
        auto &server = m_accepted.at(run("large" + std::to_string(i)));
        const std::string text = "HTTP/1.1 200 OK\r\nToucandeck-Answer-Seal: s\r\n\r\n" + body;
        std::size_t sent = 0;
        runUntil([&server, &text, &sent] {
            sent += server.tryWrite(std::string_view(text).substr(sent));
            return sent == text.size() || server.isClosed();
        });
    }
    const std::string ordinary(1U << 20U, 'o');
    const auto carrier = run("ordinary");
    const std::string text = "HTTP/1.1 200 OK\r\n" + idLine("ordinary")
        + "Toucandeck-Answer-Seal: s\r\nContent-Length: " + std::to_string(ordinary.size()) + "\r\n\r\n" + ordinary;
    std::size_t sent = 0;
    EXPECT_TRUE(runUntil([this, &text, &sent, carrier] {
        sent += m_accepted[carrier].tryWrite(std::string_view(text).substr(sent));
        return m_result.has_value() && m_result->outcome == wire::ANSWERED;
    }));
    const auto open = std::count_if(m_accepted.begin(), m_accepted.end(), [](auto &it) { return !it.isClosed(); });
    EXPECT_LE(open, 5); // Four large responses and the ordinary one.
    EXPECT_EQ(logged("response_rejected", "cause"), "responses_too_large");
}

// A copy of the answer to the first request came once more, without its id, and was delivered to the client of the second one.
TEST_F(BackendRunnerTest, ASuccessWithoutIdOnAKeptConnectionIsNotDelivered)
{
    const auto first = run("one");
    answer(first, success("one"));
    ASSERT_EQ(run("two"), first);
    const auto result = answer(first, success(""));
    EXPECT_EQ(result.outcome, wire::MAY_HAVE_RUN);
    EXPECT_EQ(result.reason, wire::BAD_ANSWER);
    EXPECT_EQ(logged("response_rejected", "cause"), "unknown_request");
}

// Its next response could not be told from a late copy of this one.
TEST_F(BackendRunnerTest, AConnectionWithAResponseWithoutIdCarriesNoOtherRequest)
{
    const auto first = run("one");
    EXPECT_EQ(answer(first, success("")).outcome, wire::ANSWERED);
    const auto second = run("two");
    EXPECT_NE(second, first);
    EXPECT_EQ(answer(second, success("")).outcome, wire::ANSWERED);
}
