// Guards against fresh requests that are taken for late retries, and retries that are taken for fresh requests.
#include "gateway/client_request_handler.h"

#include "fakes.h"

#include "link/free_port.h"
#include "runtime/raw_socket.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds kTargetLatency{ 500 };
constexpr std::uint32_t kRank = 3;

/// A manifest with one route to one service.
class OneRouteCodec : public ManifestCodec
{
public:
    Result<Manifest> decode(const wire::ManifestDocument &document) const override
    {
        Manifest manifest;
        manifest.version = document.version();
        manifest.services["svc"] = { "svc" };
        Route route;
        route.name = "submit";
        route.host = "hunt.example";
        route.pathPrefix = "/";
        route.timeout = seconds(3);
        route.targetLatency = kTargetLatency;
        route.rank = kRank;
        route.targets = { { "svc" } };
        manifest.routes["submit"] = route;
        return manifest;
    }
};

/// Keeps the latest call.
class LastCallPort : public CallPort
{
public:
    std::uint64_t send(const std::string & /*ip*/, const Call &call, CallDone done) override
    {
        m_call = call;
        m_done = std::move(done);
        return 1;
    }

    void cancel(std::uint64_t /*id*/) override
    {
    }

    void setSilenceHandler(std::function<void(std::uint64_t id)> /*handler*/) override
    {
    }

    Call m_call;
    CallDone m_done;
};

class ClientRequestHandlerTest : public testing::Test
{
protected:
    explicit ClientRequestHandlerTest(bool protectsNestedCalls = false)
        : m_protectsNestedCalls(protectsNestedCalls)
    {
        wire::FleetUpdate update;
        update.mutable_manifest()->set_version(1);
        update.set_routers_complete(true);
        auto *gateway = update.add_routers();
        gateway->set_router("10.0.0.1");
        gateway->set_failure_domain("fd-a");
        gateway->mutable_instance()->set_service("svc");
        gateway->mutable_instance()->set_state(wire::READY);
        gateway->mutable_instance()->set_slots(9);
        m_view.apply(update);
    }

    /// Sends a request of a client that waits for @p deadline from now on.
    /// @return the call that it becomes.
    Call send(const std::string &target, milliseconds deadline)
    {
        return sendWithDeadline(target, std::to_string(deadline.count()));
    }

    Call sendWithDeadline(const std::string &target, const std::string &deadlineMs)
    {
        HttpRequest request{ "POST", target, {}, "the answer" };
        request.headers.push_back({ "Host", "hunt.example" });
        request.headers.push_back({ m_names.requestId, std::to_string(++m_requests) });
        request.headers.push_back({ m_names.deadlineMs, deadlineMs });
        m_exchange = std::make_shared<HttpExchange>(std::weak_ptr<internal::PipelinedConnection>(), std::move(request), m_clock.now());
        m_handler.handle(m_exchange);
        return m_port.m_call;
    }

    /// Sends a nested call of the request that the backend server on this VM runs.
    Call sendNested(const std::string &id)
    {
        HttpRequest request{ "GET", "/teams/1", { { "Host", "hunt.example" }, { m_names.requestId, id } }, {} };
        m_handler.handle(std::make_shared<HttpExchange>(std::weak_ptr<internal::PipelinedConnection>(), std::move(request), m_clock.now()));
        return m_port.m_call;
    }

    void answer()
    {
        CallResult result;
        result.outcome = wire::ANSWERED;
        m_port.m_done(std::move(result));
    }

    void answerWith(int status)
    {
        CallResult result;
        result.outcome = wire::ANSWERED;
        result.response.status = status;
        m_port.m_done(std::move(result));
    }

    void refuse()
    {
        m_port.m_done(notRun(wire::OVERLOADED));
    }

    bool m_protectsNestedCalls;
    ManualClock m_clock;
    NullLogger m_logger;
    Metrics m_metrics;
    HeaderNames m_names;
    std::unique_ptr<EventLoop> m_loop = EventLoop::create(m_clock).value();
    SeededRandom m_random{ 1 };
    OneRouteCodec m_codec;
    FleetView m_view{ m_clock, m_logger, m_codec };
    LastCallPort m_port;
    LeastTimeChooser m_chooser;
    CallRouter m_router{ { *m_loop, m_logger, m_random, m_port, m_view, m_chooser }, "fd-a", 1.0 };
    FakeBackendStatus m_backendStatus;
    FakeBackend m_backend;
    UrgencyOrder m_order;
    ParentRequests m_parents{ m_clock, m_logger, [](const Call &call) { return call.service; }, [] { return 2U; } };
    BackendAdmission m_admission{ m_clock, m_logger, m_backendStatus, m_backend, m_order };
    ClientRequestHandler m_handler{
        { *m_loop, m_logger, m_random, m_metrics, m_names, m_view, m_admission, m_router, m_protectsNestedCalls ? &m_parents : nullptr },
        [] { return "other"; }
    };
    int m_requests = 0;
    std::shared_ptr<HttpExchange> m_exchange; ///< Of the latest request of a client.
};

} // namespace

// Failure: clients of one route wait for different times, and the fresh requests of those that wait less were taken for late retries.
TEST_F(ClientRequestHandlerTest, AFirstAttemptWithAShorterDeadlineIsNoRetry)
{
    send("/answers/1", milliseconds(3000));
    m_clock.advance(milliseconds(100));
    const auto call = send("/answers/2", milliseconds(2600));
    EXPECT_FALSE(call.clientRetry);
    EXPECT_EQ(call.targetTime, m_clock.now() + kTargetLatency);
}

TEST_F(ClientRequestHandlerTest, ARetryKeepsTheLatencyTargetOfItsFirstAttempt)
{
    const auto target = m_clock.now() + kTargetLatency;
    send("/answers/1", milliseconds(2600));
    refuse();
    m_clock.advance(milliseconds(300));
    const auto second = send("/answers/1", milliseconds(2300));
    EXPECT_TRUE(second.clientRetry);
    EXPECT_EQ(second.targetTime, target);
    refuse();
    m_clock.advance(milliseconds(300));
    const auto third = send("/answers/1", milliseconds(1990));
    EXPECT_TRUE(third.clientRetry);
    EXPECT_EQ(third.targetTime, target);
}

TEST_F(ClientRequestHandlerTest, TheSameRequestOfAnotherClientIsNoRetry)
{
    send("/answers/1", milliseconds(2600));
    refuse();
    m_clock.advance(milliseconds(300));
    EXPECT_FALSE(send("/answers/1", milliseconds(2600)).clientRetry);
}

TEST_F(ClientRequestHandlerTest, ARequestAfterAnAnsweredOneIsNoRetry)
{
    send("/answers/1", milliseconds(2600));
    answer();
    m_clock.advance(milliseconds(300));
    EXPECT_FALSE(send("/answers/1", milliseconds(2300)).clientRetry);
}

// Failure: a client that was told "not run" by the backend server's 503, although its request had run, sent it again.
TEST_F(ClientRequestHandlerTest, AGatewayOfAnEarlierVersionCannotHaveAClientToldThatItsRequestHasNotRun)
{
    int failed = 0;
    for (const int status : { 408, 421, 429, 503 }) {
        send("/answers/1", milliseconds(2600));
        answerWith(status);
        const auto line = "toucandeck_requests_total{outcome=\"failed\"} " + std::to_string(++failed);
        EXPECT_NE(m_metrics.text().find(line), std::string::npos) << status << m_metrics.text();
    }
    for (const int status : { 400, 404, 500, 502, 504 }) {
        send("/answers/1", milliseconds(2600));
        answerWith(status);
    }
    EXPECT_NE(m_metrics.text().find("toucandeck_requests_total{outcome=\"answered\"} 5"), std::string::npos);
}

TEST_F(ClientRequestHandlerTest, ANestedCallTellsHowManyOfItsSiblingsWereAnswered)
{
    m_admission.submit(callNamed("parent", m_clock), [](const CallResult &) {});
    EXPECT_EQ(sendNested("parent.1").siblingAnswers, 0U);
    answer();
    const auto second = sendNested("parent.2");
    EXPECT_TRUE(second.nested);
    EXPECT_EQ(second.siblingAnswers, 1U);
    refuse();
    EXPECT_EQ(sendNested("parent.3").siblingAnswers, 1U);
}

// Load pattern: nested calls that wait for their answer or their refusal. Their time is not the work of the parent.
TEST_F(ClientRequestHandlerTest, TheTimeOfNestedCallsIsNotTheWorkOfTheirParent)
{
    Duration work{};
    m_admission.submit(callNamed("parent", m_clock), [&work](const CallResult &it) { work = it.work; });
    m_clock.advance(milliseconds(20));
    sendNested("parent.1");
    m_clock.advance(milliseconds(300));
    answer();
    m_clock.advance(milliseconds(10));
    sendNested("parent.2");
    m_clock.advance(milliseconds(300));
    refuse();
    m_clock.advance(milliseconds(10));
    m_backend.answerFirst();
    EXPECT_EQ(work, milliseconds(40));
}

// Failure: a request that came late in the graceful stop of a gateway, or still ran at its end, was cut off without an answer.
TEST_F(ClientRequestHandlerTest, RequestsGetTheirAnswerBeforeTheGatewayEnds)
{
    send("/answers/1", milliseconds(3000));
    const auto pending = m_exchange;
    m_handler.setAnswerLimit(m_clock.now() + milliseconds(50));
    const auto call = send("/answers/2", milliseconds(3000));
    EXPECT_EQ(call.deadline, m_clock.now() + milliseconds(50));
    EXPECT_TRUE(m_loop->runUntil([&] { return pending->isAnswered() && m_exchange->isAnswered(); }, seconds(2)));
    EXPECT_EQ(m_handler.pendingCount(), 0U);
}

TEST_F(ClientRequestHandlerTest, RequestsTooLateInAGracefulStopAreRefusedAtOnce)
{
    m_handler.refuseNewRequests();
    send("/answers/1", milliseconds(3000));
    EXPECT_TRUE(m_exchange->isAnswered());
    EXPECT_EQ(m_port.m_call.requestId, "");
    EXPECT_EQ(m_handler.pendingCount(), 0U);
}

TEST_F(ClientRequestHandlerTest, AnAbsurdDeadlineDoesNotOverflow)
{
    const auto call = sendWithDeadline("/answers/1", "18446744073709551615");
    EXPECT_EQ(call.deadline, m_clock.now() + seconds(3));
    EXPECT_FALSE(call.clientRetry);
}

namespace
{

class ProtectedRequestsTest : public ClientRequestHandlerTest
{
protected:
    ProtectedRequestsTest()
        : ClientRequestHandlerTest(true)
    {
        m_admission.setStartGate([this](const Call &call, CallDone &done) { return m_parents.enter(call, done); });
    }

    /// Sends a request and has it refused, then a retry @p delay later.
    void retryAfter(milliseconds delay)
    {
        send("/answers/1", milliseconds(400));
        refuse();
        m_port.m_call = {};
        m_clock.advance(delay);
        send("/answers/1", milliseconds(400) - delay);
    }

    bool isSent() const
    {
        return !m_port.m_call.requestId.empty();
    }
};

} // namespace

// Failure: a client that retried at once had more attempts, and was served sooner, than clients that waited as they were told.
TEST_F(ProtectedRequestsTest, AnEarlyRetryWaitsUntilTheTimeThatItsClientWasTold)
{
    retryAfter(milliseconds(1));
    EXPECT_FALSE(isSent());
    EXPECT_FALSE(m_exchange->isAnswered());
    EXPECT_EQ(m_handler.heldRetries(), 1U);
    EXPECT_TRUE(m_loop->runUntil([this] { return isSent(); }, seconds(2)));
    answer();
    EXPECT_TRUE(m_exchange->isAnswered());
    EXPECT_EQ(m_handler.pendingCount(), 0U);
}

TEST_F(ProtectedRequestsTest, ARetryAfterTheTimeThatItsClientWasToldIsSentAtOnce)
{
    retryAfter(milliseconds(200)); // Retry-After is at most a third of the time left.
    EXPECT_TRUE(isSent());
    EXPECT_TRUE(m_port.m_call.clientRetry);
}

TEST_F(ProtectedRequestsTest, AnEarlyRetryWithoutTimeToWaitIsRefusedAtOnce)
{
    send("/answers/1", milliseconds(400));
    refuse();
    m_port.m_call = {};
    m_handler.setAnswerLimit(m_clock.now() + milliseconds(40));
    send("/answers/1", milliseconds(400));
    EXPECT_FALSE(isSent());
    EXPECT_TRUE(m_exchange->isAnswered());
    EXPECT_EQ(m_handler.heldRetries(), 0U);
}

// Failure: a client broke off its held retry, and its next one was served at once, or the one broken off was run as well.
TEST_F(ProtectedRequestsTest, AHeldRetryEndsWithItsClient)
{
    send("/answers/1", milliseconds(400));
    refuse();
    m_port.m_call = {};
    const std::uint16_t port = freePort();
    const auto server = PipelinedServer::create(
                            *m_loop,
                            { "127.0.0.1", port },
                            [] { return HttpLimits{}; },
                            [this](const std::shared_ptr<HttpExchange> &it) { m_handler.handle(it); })
                            .value();
    auto client = RawSocket::connectTo(port);
    client.write("POST /answers/1 HTTP/1.1\r\nHost: hunt.example\r\n" + m_names.requestId + ": 7\r\n" + m_names.deadlineMs
                 + ": 400\r\nContent-Length: 10\r\n\r\nthe answer");
    EXPECT_TRUE(m_loop->runUntil([this] { return m_handler.pendingCount() == 1; }, seconds(2)));
    EXPECT_EQ(m_handler.heldRetries(), 1U);
    client.close();
    EXPECT_TRUE(m_loop->runUntil([this] { return m_handler.pendingCount() == 0; }, seconds(2)));
    EXPECT_FALSE(m_loop->runUntil([this] { return isSent(); }, milliseconds(200)));
    send("/answers/1", milliseconds(400));
    EXPECT_FALSE(isSent());
    EXPECT_EQ(m_handler.heldRetries(), 2U);
}

TEST_F(ProtectedRequestsTest, AHeldRetryEndsWithTheGateway)
{
    retryAfter(milliseconds(1));
    m_handler.setAnswerLimit(m_clock.now() + milliseconds(5));
    EXPECT_TRUE(m_loop->runUntil([this] { return m_exchange->isAnswered(); }, seconds(2)));
    EXPECT_FALSE(isSent());
    EXPECT_EQ(m_handler.pendingCount(), 0U);
}

TEST_F(ClientRequestHandlerTest, AnEarlyRetryIsSentAtOnceIfNestedCallsAreIndependent)
{
    send("/answers/1", milliseconds(400));
    refuse();
    m_port.m_call = {};
    EXPECT_TRUE(send("/answers/1", milliseconds(400)).clientRetry);
}

// Failure: a nested call of an urgent request waited behind less urgent requests, and was answered when its parent could not end in time.
TEST_F(ProtectedRequestsTest, ANestedCallHasTheUrgencyOfItsParentAndLeavesItTime)
{
    auto parent = callNamed("parent", m_clock);
    parent.deadline = m_clock.now() + seconds(1);
    m_admission.submit(parent, [](const CallResult &) {});
    sendNested("parent.1");
    answer();
    m_clock.advance(milliseconds(100));
    m_backend.answerFirst();
    parent.requestId = "next";
    parent.deadline = m_clock.now() + seconds(1);
    m_admission.submit(parent, [](const CallResult &) {});
    const auto call = sendNested("next.1");
    EXPECT_EQ(call.deadline, parent.deadline - milliseconds(100));
    EXPECT_EQ(call.rank, 0U);
    parent.requestId = "short";
    parent.rank = kRank + 1;
    parent.deadline = m_clock.now() + milliseconds(150);
    m_admission.submit(parent, [](const CallResult &) {});
    const auto second = sendNested("short.1");
    EXPECT_EQ(second.deadline, m_clock.now() + milliseconds(100));
    EXPECT_EQ(second.rank, kRank);
}

TEST_F(ProtectedRequestsTest, ARefusedNestedCallLimitsRequestsLikeItsParent)
{
    m_admission.submit(callNamed("parent", m_clock), [](const CallResult &) {});
    EXPECT_FALSE(m_parents.gate().limit("svc"));
    sendNested("parent.1");
    refuse();
    EXPECT_TRUE(m_parents.gate().limit("svc"));
    std::optional<CallResult> second;
    m_admission.submit(callNamed("second", m_clock), [&second](CallResult result) { second = std::move(result); });
    ASSERT_TRUE(second);
    EXPECT_EQ(second->outcome, wire::NOT_RUN);
    EXPECT_EQ(second->reason, wire::NESTED_CALLS_REFUSED);
}

TEST_F(ProtectedRequestsTest, AnErrorOfANestedCallLimitsNothing)
{
    m_admission.submit(callNamed("parent", m_clock), [](const CallResult &) {});
    sendNested("parent.1");
    CallResult result;
    result.outcome = wire::ANSWERED;
    result.response.status = 500;
    m_port.m_done(std::move(result));
    EXPECT_FALSE(m_parents.gate().limit("svc"));
}
