// Guards against truncated or merged messages, unreachable peers whose connections are not reset, and calls wrongly reported as unsent.
#include "link/listener.h"
#include "link/peer_links.h"

#include "free_port.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Toucandeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class LinkTest : public testing::Test
{
protected:
    LinkTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_address{ "127.0.0.1", freePort() }
        , m_links(
              *m_loop,
              m_logger,
              m_address,
              [this](const std::string &, const wire::PeerMessage &message) { m_receivedMessages.push_back(message); },
              [this](const std::string &, bool established, const std::string &) { m_closedWasEstablished.push_back(established); })
    {
    }

    void listen(Listener::AcceptHandler handler)
    {
        m_listener = Listener::listen(*m_loop, m_address, std::move(handler)).value();
    }

    /// Replies to each call with the same id and body.
    void echo(int descriptor)
    {
        MessageChannel::Handlers handlers;
        handlers.onMessage = [](const auto &channel, const wire::PeerMessage &message) {
            wire::PeerMessage reply;
            reply.mutable_reply()->set_call(message.call().call());
            reply.mutable_reply()->set_body(message.call().body());
            channel->send(reply);
        };
        handlers.onClosed = [](const auto &, const std::string &) {};
        m_channels.push_back(MessageChannel::accept(*m_loop, descriptor, "127.0.0.1", std::move(handlers)));
    }

    bool send(std::uint64_t id, const std::string &body = {})
    {
        wire::PeerMessage message;
        message.mutable_call()->set_call(id);
        message.mutable_call()->set_body(body);
        return m_links.send("127.0.0.1", message);
    }

    SystemClock m_clock;
    RecordingLogger m_logger;
    std::unique_ptr<EventLoop> m_loop;
    SocketAddress m_address;
    std::vector<wire::PeerMessage> m_receivedMessages;
    std::vector<bool> m_closedWasEstablished;
    std::vector<std::shared_ptr<MessageChannel>> m_channels;
    std::unique_ptr<Listener> m_listener;
    PeerLinks m_links;
};

} // namespace

TEST_F(LinkTest, CarriesMessagesOfAnySizeInOrder)
{
    listen([this](int descriptor, const std::string &) { echo(descriptor); });
    send(1, std::string(3'000'000, 'x'));
    send(2);
    send(3, "abc");
    ASSERT_TRUE(m_loop->runUntil([this] { return m_receivedMessages.size() == 3; }, seconds(10)));
    EXPECT_EQ(m_receivedMessages[0].reply().body().size(), 3'000'000U);
    EXPECT_EQ(m_receivedMessages[1].reply().call(), 2U);
    EXPECT_EQ(m_receivedMessages[2].reply().body(), "abc");
}

// Guards against a request or response whose headers are not UTF-8 ending the connection, and with it all other calls there.
TEST_F(LinkTest, CarriesHeadersAndTargetsOfAnyBytes)
{
    const std::string bytes = "caf\xe9 \xff";
    std::vector<wire::CallRequest> calls;
    listen([&, this](int descriptor, const std::string &) {
        MessageChannel::Handlers handlers;
        handlers.onMessage = [&calls](const auto &channel, const wire::PeerMessage &message) {
            calls.push_back(message.call());
            wire::PeerMessage reply;
            *reply.mutable_reply()->add_headers() = message.call().headers(0);
            channel->send(reply);
        };
        handlers.onClosed = [](const auto &, const std::string &) {};
        m_channels.push_back(MessageChannel::accept(*m_loop, descriptor, "127.0.0.1", std::move(handlers)));
    });
    wire::PeerMessage message;
    auto &call = *message.mutable_call();
    call.set_request_id(bytes);
    call.set_method(bytes);
    call.set_target(bytes);
    auto &header = *call.add_headers();
    header.set_name(bytes);
    header.set_value(bytes);
    m_links.send("127.0.0.1", message);
    m_loop->runUntil([this] { return !m_receivedMessages.empty() || !m_closedWasEstablished.empty(); }, seconds(10));
    EXPECT_TRUE(m_closedWasEstablished.empty());
    ASSERT_EQ(m_receivedMessages.size(), 1U);
    EXPECT_EQ(calls[0].request_id(), bytes);
    EXPECT_EQ(calls[0].method(), bytes);
    EXPECT_EQ(calls[0].target(), bytes);
    EXPECT_EQ(m_receivedMessages[0].reply().headers(0).name(), bytes);
    EXPECT_EQ(m_receivedMessages[0].reply().headers(0).value(), bytes);
}

TEST_F(LinkTest, ReportsThatNothingWasSentIfNobodyListens)
{
    send(1);
    ASSERT_TRUE(m_loop->runUntil([this] { return !m_closedWasEstablished.empty(); }, seconds(10)));
    EXPECT_FALSE(m_closedWasEstablished[0]);
    EXPECT_FALSE(send(2)); // The retry delay has not passed.
}

TEST_F(LinkTest, ReportsThatSomethingMayHaveArrivedIfThePeerCloses)
{
    listen([](int descriptor, const std::string &) { ::close(descriptor); });
    send(1);
    ASSERT_TRUE(m_loop->runUntil([this] { return !m_closedWasEstablished.empty(); }, seconds(10)));
    EXPECT_TRUE(m_closedWasEstablished[0]);
}

TEST_F(LinkTest, EndsASilentConnectionWhileAnAnswerIsAwaited)
{
    int peerDescriptor = -1;
    listen([&peerDescriptor](int descriptor, const std::string &) { peerDescriptor = descriptor; });
    send(1);
    m_links.awaitAnswer("127.0.0.1");
    ASSERT_TRUE(m_loop->runUntil([this] { return !m_closedWasEstablished.empty(); }, seconds(10)));
    EXPECT_TRUE(m_closedWasEstablished[0]);
    ::close(peerDescriptor);
}

TEST_F(LinkTest, KeepsAQuietConnectionToALivePeer)
{
    listen([this](int descriptor, const std::string &) { echo(descriptor); });
    send(1);
    m_links.awaitAnswer("127.0.0.1");
    EXPECT_FALSE(m_loop->runUntil([this] { return !m_closedWasEstablished.empty(); }, seconds(2)));
    EXPECT_TRUE(m_links.isOpen("127.0.0.1"));
}

// Guards against controllers that close their connections to each other at the start of an election, because they were idle before it.
TEST_F(LinkTest, KeepsAConnectionThatWasIdleBeforeItIsMonitored)
{
    listen([this](int descriptor, const std::string &) { echo(descriptor); });
    send(1);
    ASSERT_TRUE(m_loop->runUntil([this] { return m_receivedMessages.size() == 1; }, seconds(10)));
    m_loop->runUntil([] { return false; }, milliseconds(1200));
    m_links.monitor("127.0.0.1");
    EXPECT_FALSE(m_loop->runUntil([this] { return !m_closedWasEstablished.empty(); }, seconds(1)));
    EXPECT_TRUE(m_links.isOpen("127.0.0.1"));
}

TEST_F(LinkTest, EndsAConnectionThatCarriesNoMessages)
{
    std::vector<std::string> reasons;
    listen([&, this](int descriptor, const std::string &) {
        MessageChannel::Handlers handlers;
        handlers.onMessage = [](const auto &, const auto &) {};
        handlers.onClosed = [&reasons](const auto &, const std::string &reason) { reasons.push_back(reason); };
        m_channels.push_back(MessageChannel::accept(*m_loop, descriptor, "127.0.0.1", std::move(handlers)));
    });
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto sa = m_address.toSockaddr();
    ASSERT_EQ(::connect(descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)), 0);
    ASSERT_EQ(::send(descriptor, "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL), 18);
    EXPECT_TRUE(m_loop->runUntil([&reasons] { return !reasons.empty(); }, seconds(10)));
    ::close(descriptor);
}

// The connection was established while the process was starved; the check of its time limit came first, when the call had been written.
TEST_F(LinkTest, ACallThatWasWrittenIsNotReportedAsUnsentByTheTimeLimitOfItsConnection)
{
    int peer = -1;
    listen([&peer](int descriptor, const std::string &) { peer = descriptor; });
    std::optional<bool> closedWasEstablished;
    MessageChannel::Handlers handlers;
    handlers.onMessage = [](const auto &, const wire::PeerMessage &) {};
    handlers.onClosed = [&](const auto &channel, const std::string &) { closedWasEstablished = channel->wasEstablished(); };
    const auto channel = MessageChannel::connect(*m_loop, m_address, {}, std::move(handlers));
    wire::PeerMessage message;
    message.mutable_call()->set_call(1);
    channel->send(message);
    const auto check = m_loop->after(milliseconds(1), [&] { channel->checkLiveness({ milliseconds(1), seconds(1), seconds(1) }); });
    std::this_thread::sleep_for(milliseconds(20));
    ASSERT_TRUE(m_loop->runUntil([&] { return closedWasEstablished && peer >= 0; }, seconds(1)));
    char first = 0;
    const bool received = ::recv(peer, &first, 1, MSG_DONTWAIT) == 1;
    EXPECT_TRUE(*closedWasEstablished || !received);
    ::close(peer);
}
