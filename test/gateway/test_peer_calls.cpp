// Guards against calls between gateways that are reported as perhaps run although they were not, or that are lost although they were
// accepted. Two gateways talk over loopback.
#include "gateway/gateway.h"

#include "fakes.h"

#include <array>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr const char *kCallerIp = "127.0.0.1";
constexpr const char *kGatewayIp = "127.0.0.2";

std::uint16_t freePort(const char *ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    auto sa = SocketAddress{ ip, 0 }.toSockaddr();
    socklen_t n = sizeof(sa);
    EXPECT_EQ(::bind(descriptor, reinterpret_cast<sockaddr *>(&sa), n), 0);
    EXPECT_EQ(::getsockname(descriptor, reinterpret_cast<sockaddr *>(&sa), &n), 0);
    ::close(descriptor);
    return ntohs(sa.sin_port);
}

class NoCodec : public ManifestCodec
{
public:
    Result<Manifest> decode(const wire::ManifestDocument &document) const override
    {
        Manifest manifest;
        manifest.version = document.version();
        return manifest;
    }
};

class NoGrantCodec : public GrantCodec
{
public:
    HttpRequest grantRequest(const GrantCall & /*call*/) const override
    {
        return {};
    }

    HttpRequest releaseRequest(const ReleaseCall & /*call*/) const override
    {
        return {};
    }

    std::string handover(const HttpResponse & /*response*/) const override
    {
        return {};
    }
};

/// The calls of one gateway to others.
class PeerCallsTest : public testing::Test
{
protected:
    PeerCallsTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_port(freePort(kGatewayIp))
        , m_callerAdmission(m_clock, m_logger, m_status, m_backend, m_order)
        , m_links(
              *m_loop,
              m_logger,
              { kCallerIp, m_port },
              [this](const std::string &, const wire::PeerMessage &message) {
                  if (message.has_reply()) {
                      m_calls.receive(message.reply());
                  }
              },
              [](const std::string &, bool, const std::string &) {})
        , m_calls(*m_loop, m_links, m_callerAdmission, kCallerIp)
    {
    }

    std::uint64_t send(const std::string &requestId)
    {
        return m_calls.send(
            kGatewayIp, callNamed(requestId, m_clock), [this, requestId](CallResult result) { m_results[requestId] = std::move(result); });
    }

    bool runUntil(const std::function<bool()> &condition, Duration limit = seconds(10))
    {
        return m_loop->runUntil(condition, limit);
    }

    SystemClock m_clock;
    NullLogger m_logger;
    std::unique_ptr<EventLoop> m_loop;
    std::uint16_t m_port;
    FakeBackendStatus m_status;
    FakeBackend m_backend;
    UrgencyOrder m_order;
    BackendAdmission m_callerAdmission;
    PeerLinks m_links;
    RemoteCalls m_calls;
    std::map<std::string, CallResult> m_results;
};

/// The other gateway has no backend server and is stopped by the test.
class StoppingGatewayTest : public PeerCallsTest
{
protected:
    StoppingGatewayTest()
        : m_random(1)
    {
        GatewayOptions options;
        options.ip = kGatewayIp;
        options.failureDomain = "a";
        options.backend = { kGatewayIp, 1 };
        options.outbound = { kGatewayIp, freePort(kGatewayIp) };
        options.peerPort = m_port;
        m_gateway = Gateway::create({ *m_loop, m_random, m_logger, m_metrics, m_headers, m_codec, m_grantCodec }, options).value();
    }

    SeededRandom m_random;
    Metrics m_metrics;
    HeaderNames m_headers;
    NoCodec m_codec;
    NoGrantCodec m_grantCodec;
    std::unique_ptr<Gateway> m_gateway;
};

/// The other gateway accepts connections but sends only what a test writes.
class SilentGatewayTest : public PeerCallsTest
{
protected:
    SilentGatewayTest()
        : m_listener(Listener::listen(*m_loop, { kGatewayIp, m_port }, [this](int descriptor, const std::string &) {
                         m_descriptors.push_back(descriptor);
                     }).value())
    {
        m_calls.setSilenceHandler([this](std::uint64_t id) { m_silentCalls.push_back(id); });
    }

    ~SilentGatewayTest() override
    {
        for (const int it : m_descriptors) {
            ::close(it);
        }
    }

    static void writeAnswer(int descriptor, std::uint64_t call)
    {
        wire::PeerMessage message;
        message.mutable_reply()->set_call(call);
        message.mutable_reply()->set_outcome(wire::ANSWERED);
        const auto body = message.SerializeAsString();
        const auto n = htonl(static_cast<std::uint32_t>(body.size()));
        const auto frame = std::string(reinterpret_cast<const char *>(&n), sizeof n) + body;
        EXPECT_EQ(::send(descriptor, frame.data(), frame.size(), MSG_NOSIGNAL), static_cast<ssize_t>(frame.size()));
    }

    std::vector<int> m_descriptors;
    std::vector<std::uint64_t> m_silentCalls;
    std::unique_ptr<Listener> m_listener;
};

/// Receives the calls at a PeerServer with a fake backend server.
class PeerServerTest : public PeerCallsTest
{
protected:
    PeerServerTest()
        : m_admission(m_clock, m_logger, m_status, m_backend, m_order)
        , m_server(PeerServer::create(*m_loop, m_admission, { kGatewayIp, m_port }).value())
    {
    }

    BackendAdmission m_admission;
    std::unique_ptr<PeerServer> m_server;
};

} // namespace

// Guards against calls that cross the end of a gateway on their way and are reported as perhaps run, though the gateway never read them.
TEST_F(StoppingGatewayTest, NoCallIsInDoubtWhenAGatewayStopsGracefully)
{
    int n = 0;
    const auto sender = m_loop->every(milliseconds(1), [this, &n] { send(std::to_string(n++)); });
    bool ended = false;
    m_gateway->drain([&] {
        send(std::to_string(n++)); // On its way when the gateway ends.
        m_loop->runSoon([&] {
            m_gateway.reset();
            ended = true;
        });
    });
    ASSERT_TRUE(runUntil([&ended] { return ended; }));
    const auto sent = static_cast<std::size_t>(n);
    ASSERT_TRUE(runUntil([&] { return m_results.size() > sent; }));
    const auto inDoubt
        = std::count_if(m_results.begin(), m_results.end(), [](const auto &it) { return it.second.outcome != wire::NOT_RUN; });
    EXPECT_EQ(inDoubt, 0);
}

// Guards against the end of a gateway while its GoAway is still on its way to a caller behind a full link.
TEST_F(StoppingGatewayTest, RepliesOnAConnectionThatWasOpenedJustBeforeTheEnd)
{
    std::vector<wire::CallReply> replies;
    MessageChannel::Handlers handlers;
    handlers.onMessage = [&replies](const auto &, const wire::PeerMessage &message) {
        if (message.has_reply()) {
            replies.push_back(message.reply());
        }
    };
    m_gateway->drain([this] { m_loop->runSoon([this] { m_gateway.reset(); }); });
    m_loop->runUntil([] { return false; }, milliseconds(2400));
    const auto channel = MessageChannel::connect(*m_loop, { kGatewayIp, m_port }, kCallerIp, std::move(handlers));
    m_loop->runUntil([] { return false; }, milliseconds(700));
    wire::PeerMessage message;
    message.mutable_call()->set_call(7);
    channel->send(message);
    EXPECT_TRUE(runUntil([&replies] { return !replies.empty(); }, seconds(1)));
    channel->close();
    EXPECT_TRUE(runUntil([this] { return m_gateway == nullptr; }));
}

// Guards against losing the answers to the calls that a gateway accepted before it began to stop.
TEST_F(PeerServerTest, AnswersTheAcceptedCallsAfterItStopsAcceptingCalls)
{
    send("accepted");
    ASSERT_TRUE(runUntil([this] { return m_backend.m_running.size() == 1; }));
    m_server->stopAcceptingCalls();
    send("late");
    ASSERT_TRUE(runUntil([this] { return m_results.count("late") == 1; }));
    EXPECT_EQ(m_results["late"].outcome, wire::NOT_RUN);
    EXPECT_EQ(m_results["late"].reason, wire::LEAVING);
    EXPECT_EQ(m_server->connectionCount(), 1U);
    m_backend.answerFirst();
    ASSERT_TRUE(runUntil([this] { return m_results.count("accepted") == 1; }));
    EXPECT_EQ(m_results["accepted"].outcome, wire::ANSWERED);
    EXPECT_TRUE(runUntil([this] { return m_server->connectionCount() == 0; }));
    EXPECT_EQ(m_backend.m_sentRequests, std::vector<std::string>{ "accepted" });
}

// Guards against calls on a new connection to a gateway that has stopped accepting calls.
TEST_F(PeerServerTest, RefusesTheCallsOfNewConnectionsAfterItStopsAcceptingCalls)
{
    m_server->stopAcceptingCalls();
    send("late");
    ASSERT_TRUE(runUntil([this] { return m_results.count("late") == 1; }));
    EXPECT_EQ(m_results["late"].outcome, wire::NOT_RUN);
    EXPECT_TRUE(runUntil([this] { return m_server->connectionCount() == 0; }));
    EXPECT_TRUE(m_backend.m_sentRequests.empty());
}

// Guards against a share of slots for all entries together instead of one for each: the address of the entry is not sent with a call.
TEST_F(PeerServerTest, TellsTheAdmissionWhichEntrySentACall)
{
    send("call");
    ASSERT_TRUE(runUntil([this] { return m_backend.m_running.size() == 1; }));
    EXPECT_FALSE(m_backend.m_running.begin()->second.first.entry.empty());
}

// Guards against calls that a congested link delays beyond their deadline and that run after their clients have left.
TEST_F(PeerServerTest, DoesNotRunACallWhoseTimeWasUsedUpOnItsWay)
{
    const auto sendAgedCall = [this](std::uint64_t id, Duration age) {
        const auto now = m_clock.now();
        wire::PeerMessage message;
        *message.mutable_call() = toWire(callNamed(std::to_string(id), m_clock), now - age);
        message.mutable_call()->set_call(id);
        message.mutable_call()->set_remaining_ms(1000);
        m_links.send(kGatewayIp, message);
    };
    sendAgedCall(1, Duration::zero());
    ASSERT_TRUE(runUntil([this] { return m_backend.m_sentRequests.size() == 1; }));
    sendAgedCall(2, milliseconds(1500));
    sendAgedCall(3, milliseconds(300));
    ASSERT_TRUE(runUntil([this] { return m_backend.m_sentRequests.size() == 2; }));
    EXPECT_EQ(m_backend.m_sentRequests.back(), "3");
    const auto &delayed = m_backend.m_running.rbegin()->second.first;
    EXPECT_LT(delayed.deadline, m_clock.now() + milliseconds(800));
}

// Guards against resetting connections that callers have established but that are not accepted yet when the server stops listening.
TEST_F(PeerServerTest, AcceptsTheWaitingConnectionsBeforeItStopsListening)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto sa = SocketAddress{ kGatewayIp, m_port }.toSockaddr();
    ASSERT_EQ(::connect(descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)), 0);
    m_server->stopAcceptingCalls();
    m_server->stopListening();
    EXPECT_EQ(m_server->connectionCount(), 1U);
    m_loop->runUntil([] { return false; }, milliseconds(100));
    std::array<char, 64> buf{};
    EXPECT_GT(::recv(descriptor, buf.data(), buf.size(), MSG_DONTWAIT), 0);
    ::close(descriptor);
}

// Guards against a call without an answer if the caller is of a version that does not know GoAway.
TEST_F(PeerServerTest, RepliesToCallersThatDoNotKnowGoAway)
{
    std::vector<wire::CallReply> replies;
    MessageChannel::Handlers handlers;
    handlers.onMessage = [&replies](const auto &, const wire::PeerMessage &message) {
        if (message.has_reply()) {
            replies.push_back(message.reply());
        }
    };
    const auto channel = MessageChannel::connect(*m_loop, { kGatewayIp, m_port }, kCallerIp, std::move(handlers));
    ASSERT_TRUE(runUntil([this] { return m_server->connectionCount() == 1; }));
    m_server->stopAcceptingCalls();
    wire::PeerMessage message;
    *message.mutable_call() = toWire(callNamed("late", m_clock), m_clock.now());
    message.mutable_call()->set_call(7);
    channel->send(message);
    ASSERT_TRUE(runUntil([&replies] { return !replies.empty(); }));
    EXPECT_EQ(replies[0].call(), 7U);
    EXPECT_EQ(replies[0].outcome(), wire::NOT_RUN);
    EXPECT_EQ(replies[0].reason(), wire::LEAVING);
    channel->close();
}

// Guards against breaking off the calls to a gateway that is slow, or behind a full link, for a second.
TEST_F(SilentGatewayTest, ACallIsAnsweredAfterItsGatewayWasSilent)
{
    const auto id = send("slow");
    m_loop->runUntil([] { return false; }, milliseconds(1500));
    EXPECT_EQ(m_results.count("slow"), 0U);
    EXPECT_EQ(m_silentCalls, std::vector<std::uint64_t>{ id });
    writeAnswer(m_descriptors.at(0), id);
    ASSERT_TRUE(runUntil([this] { return m_results.count("slow") == 1; }));
    EXPECT_EQ(m_results["slow"].outcome, wire::ANSWERED);
}

// Guards against sending further calls on a connection that may never recover.
TEST_F(SilentGatewayTest, FurtherCallsUseANewConnection)
{
    send("first");
    ASSERT_TRUE(runUntil([this] { return !m_silentCalls.empty(); }));
    const auto id = send("second");
    ASSERT_TRUE(runUntil([this] { return m_descriptors.size() == 2; }));
    writeAnswer(m_descriptors[1], id);
    ASSERT_TRUE(runUntil([this] { return m_results.count("second") == 1; }));
    EXPECT_EQ(m_results["second"].outcome, wire::ANSWERED);
    EXPECT_EQ(m_results.count("first"), 0U);
}

TEST_F(SilentGatewayTest, ACallFailsWhenItsSilentConnectionEnds)
{
    send("lost");
    ASSERT_TRUE(runUntil([this] { return !m_silentCalls.empty(); }));
    ::shutdown(m_descriptors.at(0), SHUT_RDWR);
    ASSERT_TRUE(runUntil([this] { return m_results.count("lost") == 1; }));
    EXPECT_EQ(m_results["lost"].outcome, wire::MAY_HAVE_RUN);
    EXPECT_EQ(m_results["lost"].reason, wire::LINK_LOST);
}
