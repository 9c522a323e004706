// Guards against fresh requests that are taken for late retries, and retries that are taken for fresh requests.
#include "gateway/client_request_handler.h"

#include "fakes.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds kTargetLatency{ 500 };

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
    ClientRequestHandlerTest()
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

    void refuse()
    {
        m_port.m_done(notRun(wire::OVERLOADED));
    }

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
    BackendAdmission m_admission{ m_clock, m_logger, m_backendStatus, m_backend, m_order };
    ClientRequestHandler m_handler{ { *m_loop, m_logger, m_random, m_metrics, m_names, m_view, m_admission, m_router },
                                    [] { return "other"; } };
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
