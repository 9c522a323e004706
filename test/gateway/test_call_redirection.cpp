// Guards against calls that are redirected in a loop, and against bytes spent on reports that nobody uses.
#include "gateway/call_router.h"

#include "fakes.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

class TwoServicesCodec : public ManifestCodec
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

class RecordingPort : public CallPort
{
public:
    std::uint64_t send(const std::string & /*ip*/, const Call &call, CallDone done) override
    {
        m_maxWaits.push_back(call.maxWait);
        m_done = std::move(done);
        return m_maxWaits.size();
    }

    void cancel(std::uint64_t /*id*/) override
    {
    }

    void setSilenceHandler(std::function<void(std::uint64_t id)> /*handler*/) override
    {
    }

    void refuse(wire::CallReason reason)
    {
        const auto done = std::exchange(m_done, nullptr);
        done(notRun(reason));
    }

    void answer(const PeerReport &peer)
    {
        CallResult result;
        result.outcome = wire::ANSWERED;
        result.peers.push_back(peer);
        const auto done = std::exchange(m_done, nullptr);
        done(std::move(result));
    }

    std::vector<Duration> m_maxWaits;
    CallDone m_done;
};

class CallRedirectionTest : public testing::Test
{
protected:
    CallRedirectionTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_random(1)
        , m_view(m_clock, m_logger, m_codec)
    {
        wire::FleetUpdate update;
        update.mutable_manifest()->set_version(1);
        update.set_routers_complete(true);
        for (int i = 1; i <= 6; ++i) {
            auto *it = update.add_routers();
            it->set_router("10.0.0." + std::to_string(i));
            it->set_failure_domain("fd-a");
            it->mutable_instance()->set_service(i == 6 ? "keyed" : "svc");
            it->mutable_instance()->set_state(wire::READY);
            it->mutable_instance()->set_slots(9);
        }
        m_view.apply(update);
        start(Balancing::Capacity);
    }

    void start(Balancing balancing)
    {
        m_router = std::make_unique<CallRouter>(
            CallRouterParts{ *m_loop, m_logger, m_random, m_port, m_view, m_chooser }, "fd-a", 1.0, balancing);
    }

    void route()
    {
        auto call = callNamed("r", m_clock);
        call.service = "svc";
        m_router->route(std::move(call), { false, 1 }, [this](RoutedResult result) { m_result = std::move(result); });
    }

    static PeerReport report(const std::string &gateway)
    {
        PeerReport it{ gateway, {}, {} };
        it.load.set_running(3);
        it.load.set_slots(9);
        return it;
    }

    SystemClock m_clock;
    NullLogger m_logger;
    std::unique_ptr<EventLoop> m_loop;
    SeededRandom m_random;
    TwoServicesCodec m_codec;
    FleetView m_view;
    RecordingPort m_port;
    LeastTimeChooser m_chooser;
    std::unique_ptr<CallRouter> m_router;
    std::optional<RoutedResult> m_result;
};

} // namespace

TEST_F(CallRedirectionTest, AfterTwoRedirectionsTheNextGatewayIsAskedWithoutALimit)
{
    route();
    m_port.refuse(wire::BUSY);
    m_port.refuse(wire::BUSY);
    ASSERT_EQ(m_port.m_maxWaits.size(), 3U);
    EXPECT_GT(m_port.m_maxWaits[0], Duration::zero());
    EXPECT_GT(m_port.m_maxWaits[1], Duration::zero());
    EXPECT_EQ(m_port.m_maxWaits[2], Duration::zero());
    EXPECT_EQ(m_router->counters().redirected, 2U);
    EXPECT_EQ(m_router->counters().selections, 3U);
    EXPECT_EQ(m_router->counters().withoutReport, 3U);
}

TEST_F(CallRedirectionTest, ACallWhoseNestedCallsAreRefusedIsNotTriedElsewhere)
{
    route();
    m_port.refuse(wire::NESTED_CALLS_REFUSED);
    EXPECT_EQ(m_port.m_maxWaits.size(), 1U);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->result.reason, wire::NESTED_CALLS_REFUSED);
}

TEST_F(CallRedirectionTest, LeastTimeSetsNoLimitAndIgnoresAndSendsNoReports)
{
    start(Balancing::LeastTime);
    route();
    EXPECT_EQ(m_port.m_maxWaits.front(), Duration::zero());
    m_port.answer(report("10.0.0.2"));
    EXPECT_TRUE(m_router->reportsFor("svc", "10.0.0.9").empty());
}

// Failure: reports of gateways that are not listed stayed for ever.
TEST_F(CallRedirectionTest, OnlyReportsOfListedGatewaysOfTheServiceArePassedOn)
{
    route();
    m_port.answer(report("10.0.0.77"));
    EXPECT_TRUE(m_router->reportsFor("svc", "10.0.0.9").empty());
    route();
    m_port.answer(report("10.0.0.6"));
    EXPECT_TRUE(m_router->reportsFor("svc", "10.0.0.9").empty());
    route();
    m_port.answer(report("10.0.0.2"));
    EXPECT_EQ(m_router->reportsFor("svc", "10.0.0.9").size(), 1U);
    EXPECT_TRUE(m_router->reportsFor("keyed", "10.0.0.9").empty());
}
