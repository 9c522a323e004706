// Guards against requests that run twice, refusals of requests that may have run, and more attempts than the manifest allows.
#include "gateway/call_router.h"

#include "fakes.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class FixedCodec : public ManifestCodec
{
public:
    Result<Manifest> decode(const wire::ManifestDocument &document) const override
    {
        Manifest manifest;
        manifest.version = document.version();
        manifest.services["svc"] = { "svc" };
        manifest.services["keyed"] = { "keyed" };
        manifest.services["keyed"].keyed = true;
        return manifest;
    }
};

class FakePort : public CallPort
{
public:
    std::uint64_t send(const std::string &ip, const Call & /*call*/, CallDone done) override
    {
        m_sentTo.push_back(ip);
        m_pendingDone = std::move(done);
        return ++m_lastId;
    }

    void cancel(std::uint64_t id) override
    {
        m_cancelledIds.push_back(id);
    }

    void setSilenceHandler(std::function<void(std::uint64_t id)> handler) override
    {
        m_silenceHandler = std::move(handler);
    }

    /// The gateway of the latest call sends nothing for some time; replyToSilent() replies later.
    void fallSilent()
    {
        m_silentDone = std::exchange(m_pendingDone, nullptr);
        m_silenceHandler(m_lastId);
    }

    void replyToSilent(wire::CallOutcome outcome, wire::CallReason reason)
    {
        std::swap(m_silentDone, m_pendingDone);
        reply(outcome, reason, true);
        std::swap(m_silentDone, m_pendingDone);
    }

    void reply(wire::CallOutcome outcome, wire::CallReason reason, bool reached, int status = 200)
    {
        CallResult result;
        result.work = m_work;
        result.outcome = outcome;
        result.reason = reason;
        result.reachedBackend = reached;
        result.response.status = status;
        const auto done = std::exchange(m_pendingDone, nullptr);
        done(std::move(result));
    }

    std::vector<std::string> m_sentTo;
    std::vector<std::uint64_t> m_cancelledIds;
    CallDone m_pendingDone;
    CallDone m_silentDone;
    std::function<void(std::uint64_t id)> m_silenceHandler;
    std::uint64_t m_lastId = 0;
    Duration m_work{}; ///< In the replies.
};

class CallRouterTest : public testing::Test
{
protected:
    CallRouterTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_random(1)
        , m_view(m_clock, m_logger, m_codec)
        , m_router({ *m_loop, m_logger, m_random, m_port, m_view, m_chooser, &m_referenceWork }, "fd-a", 1.0)
    {
        wire::FleetUpdate update;
        update.mutable_manifest()->set_version(1);
        update.set_routers_complete(true);
        for (const auto *ip : { "10.0.0.1", "10.0.0.2", "10.0.0.3" }) {
            addGateway(update, ip, "svc");
        }
        addGateway(update, "10.0.0.9", "keyed");
        m_view.apply(update);
    }

    static void addGateway(wire::FleetUpdate &update, const std::string &ip, const std::string &service)
    {
        auto *it = update.add_routers();
        it->set_router(ip);
        it->set_failure_domain("fd-a");
        it->mutable_instance()->set_service(service);
        it->mutable_instance()->set_state(wire::READY);
        it->mutable_instance()->set_slots(9);
    }

    void setHolder(const std::string &ip, std::uint64_t revision)
    {
        wire::FleetUpdate update;
        auto *table = update.add_tables();
        table->set_service("keyed");
        table->set_revision(revision);
        *table->add_rows() = toWire(KeyRow{ { 0, kKeyCount - 1 }, "x", ip, revision, {} });
        m_view.apply(update);
    }

    std::uint64_t route(bool idempotent, std::uint32_t maxAttempts, const std::string &service = "svc")
    {
        auto call = callNamed("r", m_clock);
        call.service = service;
        call.key = 5;
        return m_router.route(std::move(call), { idempotent, maxAttempts }, [this](RoutedResult result) { m_result = std::move(result); });
    }

    void runOnce()
    {
        m_loop->runUntil([] { return false; }, milliseconds(150));
    }

    SystemClock m_clock;
    NullLogger m_logger;
    std::unique_ptr<EventLoop> m_loop;
    SeededRandom m_random;
    FixedCodec m_codec;
    FleetView m_view;
    FakePort m_port;
    LeastTimeChooser m_chooser;
    ReferenceWork m_referenceWork;
    CallRouter m_router;
    std::optional<RoutedResult> m_result;
};

} // namespace

TEST_F(CallRouterTest, AsksAnotherGatewayAfterARefusalByAGateway)
{
    route(false, 1);
    m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
    ASSERT_EQ(m_port.m_sentTo.size(), 2U);
    EXPECT_NE(m_port.m_sentTo[0], m_port.m_sentTo[1]);
    m_port.reply(wire::ANSWERED, wire::NONE, true);
    EXPECT_EQ(m_result->result.outcome, wire::ANSWERED);
    EXPECT_EQ(m_result->reachedBackends, 1U);
}

// Failure: a gateway without a reference cannot tell how fast the backend server beside it is.
TEST_F(CallRouterTest, LearnsTheUsualWorkFromReplies)
{
    for (int i = 0; i < 30; ++i) {
        m_port.m_work = milliseconds(i % 2 == 0 ? 50 : 150);
        route(false, 1);
        m_port.reply(wire::ANSWERED, wire::NONE, true);
    }
    m_port.m_work = {};
    route(false, 1);
    m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false); // Tells nothing about the work.
    const auto usual = m_referenceWork.usual(callNamed("a", m_clock));
    ASSERT_TRUE(usual);
    EXPECT_GT(*usual, milliseconds(80));
    EXPECT_LT(*usual, milliseconds(120));
}

// Failure: what a gateway keeps for each service grew with each name that a manifest ever contained.
TEST_F(CallRouterTest, ForgetsServicesThatAreGoneOnceNoCallIsPending)
{
    const auto isGone = [](const std::string &) { return false; };
    route(true, 2);
    m_router.retainServices(isGone);
    EXPECT_EQ(m_router.serviceCount(), 1U);
    m_port.reply(wire::MAY_HAVE_RUN, wire::LINK_LOST, true);
    m_port.reply(wire::ANSWERED, wire::NONE, true);
    ASSERT_TRUE(m_result);
    m_router.retainServices(isGone);
    EXPECT_EQ(m_router.serviceCount(), 0U);
}

TEST_F(CallRouterTest, NeverRetriesWhatMayHaveRunUnlessItIsIdempotent)
{
    route(false, 3);
    m_port.reply(wire::MAY_HAVE_RUN, wire::LINK_LOST, true);
    EXPECT_EQ(m_port.m_sentTo.size(), 1U);
    EXPECT_EQ(m_result->result.outcome, wire::MAY_HAVE_RUN);
}

// Failure: after an attempt that had run and failed with 500, a refusal of the next one was reported as "not run".
TEST_F(CallRouterTest, ARefusalAfterAnAttemptThatFailedMayHaveRun)
{
    route(true, 2);
    m_port.reply(wire::ANSWERED, wire::NONE, true, 500);
    ASSERT_EQ(m_port.m_sentTo.size(), 2U);
    while (!m_result) {
        m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
    }
    EXPECT_EQ(m_result->result.outcome, wire::MAY_HAVE_RUN);
}

TEST_F(CallRouterTest, RetriesAnIdempotentRequestElsewhere)
{
    route(true, 2);
    m_port.reply(wire::MAY_HAVE_RUN, wire::LINK_LOST, true);
    ASSERT_EQ(m_port.m_sentTo.size(), 2U);
    EXPECT_NE(m_port.m_sentTo[0], m_port.m_sentTo[1]);
}

TEST_F(CallRouterTest, ReachesNoMoreBackendServersThanTheRouteAllows)
{
    route(true, 2);
    m_port.reply(wire::MAY_HAVE_RUN, wire::LINK_LOST, true);
    m_port.reply(wire::MAY_HAVE_RUN, wire::LINK_LOST, true);
    EXPECT_EQ(m_port.m_sentTo.size(), 2U);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->reachedBackends, 2U);
}

TEST_F(CallRouterTest, ARefusalAfterAnAttemptThatMayHaveRunIsNotCalledNotRun)
{
    route(true, 3);
    m_port.reply(wire::MAY_HAVE_RUN, wire::LINK_LOST, true);
    m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
    m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::MAY_HAVE_RUN);
}

TEST_F(CallRouterTest, RefusesOnceAllGatewaysRefused)
{
    route(false, 1);
    m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
    m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
    m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::NOT_RUN);
    EXPECT_EQ(m_result->reachedBackends, 0U);
}

// Guards against breaking off a request that may not be repeated because the gateway that runs it is slow to send anything.
TEST_F(CallRouterTest, ARequestThatIsNotIdempotentWaitsForASilentGateway)
{
    route(false, 3);
    m_port.fallSilent();
    EXPECT_EQ(m_port.m_sentTo.size(), 1U);
    ASSERT_FALSE(m_result);
    m_port.replyToSilent(wire::ANSWERED, wire::NONE);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::ANSWERED);
}

TEST_F(CallRouterTest, RetriesAnIdempotentRequestWhoseGatewayIsSilent)
{
    route(true, 2);
    m_port.fallSilent();
    ASSERT_EQ(m_port.m_sentTo.size(), 2U);
    EXPECT_NE(m_port.m_sentTo[0], m_port.m_sentTo[1]);
    m_port.reply(wire::ANSWERED, wire::NONE, true);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::ANSWERED);
    EXPECT_EQ(m_result->gateway, m_port.m_sentTo[1]);
    EXPECT_EQ(m_port.m_cancelledIds, std::vector<std::uint64_t>{ 1 });
}

TEST_F(CallRouterTest, TakesTheAnswerOfASilentGatewayBeforeThatOfTheRetry)
{
    route(true, 2);
    m_port.fallSilent();
    m_port.replyToSilent(wire::ANSWERED, wire::NONE);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::ANSWERED);
    EXPECT_EQ(m_result->gateway, m_port.m_sentTo[0]);
    EXPECT_EQ(m_port.m_cancelledIds, std::vector<std::uint64_t>{ 2 });
}

// Guards against an error of the retry that ends a request which the silent gateway still runs.
TEST_F(CallRouterTest, FailsOnlyOnceTheSilentGatewayHasFailedToo)
{
    route(true, 3);
    m_port.fallSilent();
    m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
    m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
    ASSERT_FALSE(m_result);
    m_port.replyToSilent(wire::MAY_HAVE_RUN, wire::LINK_LOST);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::MAY_HAVE_RUN);
    EXPECT_EQ(m_router.pendingCount(), 0U);
}

TEST_F(CallRouterTest, CountsASilentGatewayAsABackendServerReached)
{
    route(true, 1);
    m_port.fallSilent();
    EXPECT_EQ(m_port.m_sentTo.size(), 1U);
}

TEST_F(CallRouterTest, ACancelledCallIsCancelledAtItsSilentGatewayToo)
{
    const auto id = route(true, 2);
    m_port.fallSilent();
    m_router.cancel(id);
    EXPECT_EQ(m_port.m_cancelledIds.size(), 2U);
    EXPECT_EQ(m_router.pendingCount(), 0U);
}

TEST_F(CallRouterTest, SendsAKeyedCallToTheHolderAndFollowsAMove)
{
    setHolder("10.0.0.9", 5);
    route(true, 2, "keyed");
    EXPECT_EQ(m_port.m_sentTo.back(), "10.0.0.9");
    m_port.reply(wire::NOT_RUN, wire::NOT_HOLDER, false);
    EXPECT_FALSE(m_result);
    setHolder("10.0.0.3", 6);
    m_router.onViewChanged();
    EXPECT_EQ(m_port.m_sentTo.back(), "10.0.0.3");
}

// Pattern: a failure domain is unreachable. Calls for keys there must not wait until their maximum wait for the holder ends.
TEST_F(CallRouterTest, RefusesAKeyedCallAtOnceWhenItsHolderCannotBeReached)
{
    setHolder("10.0.0.9", 5);
    route(true, 2, "keyed");
    m_port.reply(wire::NOT_RUN, wire::CONNECT_FAILED, false);
    EXPECT_FALSE(m_result); // One failure may be a restart.
    runOnce();
    m_port.reply(wire::NOT_RUN, wire::CONNECT_FAILED, false);
    ASSERT_TRUE(m_result);
    m_result.reset();
    route(true, 2, "keyed");
    m_port.reply(wire::NOT_RUN, wire::CONNECT_FAILED, false);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::NOT_RUN);
}

TEST_F(CallRouterTest, ACancelledCallIsCancelledAtItsGateway)
{
    const auto id = route(false, 1);
    m_router.cancel(id);
    EXPECT_EQ(m_port.m_cancelledIds.size(), 1U);
    EXPECT_EQ(m_router.pendingCount(), 0U);
}

TEST_F(CallRouterTest, RefusesWithoutWaitingWhenNoBackendServerServes)
{
    route(false, 1, "nobody");
    runOnce();
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.reason, wire::NO_INSTANCE);
}

TEST_F(CallRouterTest, EvacuatedFailureDomainsGetNothing)
{
    wire::FleetUpdate update;
    update.set_has_evacuations(true);
    update.add_evacuated("fd-a");
    m_view.apply(update);
    route(false, 1);
    runOnce();
    EXPECT_TRUE(m_port.m_sentTo.empty());
    EXPECT_EQ(m_result->result.reason, wire::NO_INSTANCE);
}

TEST_F(CallRouterTest, RefusedRequestsEarnNoRetries)
{
    constexpr double kRetryShare = 0.1;
    CallRouter router({ *m_loop, m_logger, m_random, m_port, m_view, m_chooser }, "fd-a", kRetryShare);
    const auto route = [&router, this] {
        m_port.m_sentTo.clear();
        router.route(callNamed("r", m_clock), { true, 2 }, [](const RoutedResult &) {});
    };
    for (int i = 0; i < 30; ++i) {
        route();
        while (m_port.m_pendingDone) {
            m_port.reply(wire::NOT_RUN, wire::OVERLOADED, false);
        }
    }
    std::size_t retries = 0;
    for (int i = 0; i < 5; ++i) {
        route();
        while (m_port.m_pendingDone) {
            m_port.reply(wire::MAY_HAVE_RUN, wire::LINK_LOST, true);
        }
        retries += m_port.m_sentTo.size() - 1;
    }
    EXPECT_LE(retries, 1U); // The budget of each gateway initially allows one.
}

namespace
{

class ProtectedNestedCallTest : public CallRouterTest
{
protected:
    /// Routes a call that leaves no time for long pauses.
    void routeNested(const std::string &service = "svc", bool nested = true)
    {
        auto call = callNamed("r.1", m_clock);
        call.service = service;
        call.key = 5;
        call.nested = nested;
        call.deadline = m_clock.now() + milliseconds(400);
        m_id = m_protectedRouter.route(std::move(call), { false, 1 }, [this](RoutedResult result) { m_result = std::move(result); });
    }

    /// Refuses the pending attempts until none is left.
    /// @return their number.
    std::size_t refuseRound(wire::CallReason reason = wire::OVERLOADED)
    {
        const auto before = m_port.m_sentTo.size() - 1;
        while (m_port.m_pendingDone) {
            m_port.reply(wire::NOT_RUN, reason, false);
        }
        return m_port.m_sentTo.size() - before;
    }

    bool awaitAttempt()
    {
        return m_loop->runUntil([this] { return m_port.m_pendingDone != nullptr || m_result; }, seconds(2)) && !m_result;
    }

    CallRouter m_protectedRouter{
        { *m_loop, m_logger, m_random, m_port, m_view, m_chooser }, "fd-a", 1.0, Balancing::LeastTime, NestedCalls::Protected
    };
    std::uint64_t m_id = 0;
};

} // namespace

// Failure: a request lost its work because one of its calls was refused by all gateways at one moment.
TEST_F(ProtectedNestedCallTest, ANestedCallThatWasRefusedEverywhereIsTriedAgain)
{
    routeNested();
    EXPECT_EQ(refuseRound(), 3U);
    ASSERT_FALSE(m_result);
    ASSERT_TRUE(awaitAttempt());
    m_port.reply(wire::ANSWERED, wire::NONE, true);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::ANSWERED);
    EXPECT_EQ(m_result->reachedBackends, 1U);
    EXPECT_EQ(m_protectedRouter.retriedNestedCalls(), 1U);
}

TEST_F(ProtectedNestedCallTest, AtMostThreeRoundsOfAtMostFourGateways)
{
    routeNested();
    EXPECT_LE(refuseRound(), 4U);
    ASSERT_TRUE(awaitAttempt());
    EXPECT_LE(refuseRound(), 4U);
    ASSERT_TRUE(awaitAttempt());
    EXPECT_LE(refuseRound(), 4U);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::NOT_RUN);
    EXPECT_EQ(m_protectedRouter.pendingCount(), 0U);
}

TEST_F(ProtectedNestedCallTest, ACallToABusyHolderOfItsKeyIsTriedAgainThere)
{
    setHolder("10.0.0.9", 1);
    routeNested("keyed");
    EXPECT_EQ(refuseRound(), 1U);
    ASSERT_TRUE(awaitAttempt());
    EXPECT_EQ(m_port.m_sentTo, (std::vector<std::string>{ "10.0.0.9", "10.0.0.9" }));
}

TEST_F(ProtectedNestedCallTest, ARefusedRequestOfAClientIsNotTriedAgain)
{
    routeNested("svc", false);
    refuseRound();
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.outcome, wire::NOT_RUN);
}

// Failure: a call whose own calls cannot be served was sent to gateway after gateway.
TEST_F(ProtectedNestedCallTest, ACallRefusedForItsNestedCallsIsNotSentToAnotherGateway)
{
    routeNested();
    EXPECT_EQ(refuseRound(wire::NESTED_CALLS_REFUSED), 1U);
    ASSERT_TRUE(m_result);
}

TEST_F(ProtectedNestedCallTest, ARefusalByABackendServerUsesTheRetryBudget)
{
    routeNested();
    m_port.reply(wire::NOT_RUN, wire::REFUSED_BY_INSTANCE, true);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_port.m_sentTo.size(), 1U);
}

TEST_F(ProtectedNestedCallTest, ACancelledCallIsNotTriedAgain)
{
    routeNested();
    refuseRound();
    m_protectedRouter.cancel(m_id);
    EXPECT_FALSE(m_loop->runUntil([this] { return m_port.m_pendingDone != nullptr; }, milliseconds(200)));
    EXPECT_EQ(m_protectedRouter.pendingCount(), 0U);
}
