// Guards against lost, crossed or reordered messages, and against input from untrusted peers.
#include "loopback.h"
#include "raw_socket.h"

#include "runtime/events.h"
#include "runtime/message_socket.h"

#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <zmq.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

wire::Envelope request(std::uint64_t id)
{
    wire::Envelope envelope;
    envelope.mutable_forward_request()->set_request(id);
    return envelope;
}

struct MessageSocketTest : LoopFixture
{
    std::unique_ptr<MessageSocket> open(std::optional<CurveOptions> curve = {}, MessageSocketOptions options = {})
    {
        options.address = "tcp://127.0.0.1:0";
        options.curve = std::move(curve);
        return valueOf(MessageSocket::create(*loop, options, logger));
    }

    RecordingLogger logger;
};

std::uint16_t portOf(const MessageSocket &socket)
{
    return static_cast<std::uint16_t>(std::stoi(socket.address().substr(socket.address().rfind(':') + 1)));
}

/// While it exists, this process can open no further descriptors.
class DescriptorLimit
{
public:
    DescriptorLimit()
    {
        EXPECT_EQ(getrlimit(RLIMIT_NOFILE, &m_former), 0);
        const int next = dup(STDERR_FILENO);
        close(next);
        const rlimit limit{ static_cast<rlim_t>(next), m_former.rlim_max };
        EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
    }

    ~DescriptorLimit()
    {
        EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &m_former), 0);
    }

    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit m_former{};
};

/// Folder with a new secret key and a set of allowed keys that contains only @p others.
struct KeyFolder
{
    std::filesystem::path root;
    std::string publicKey;

    explicit KeyFolder(const std::string &name, const std::vector<std::string> &others = {})
        : root(std::filesystem::path(testing::TempDir()) / ("toucandeck_keys_" + std::to_string(getpid()) + name))
    {
        char open[41];
        char secret[41];
        EXPECT_EQ(zmq_curve_keypair(open, secret), 0);
        publicKey = open;
        std::filesystem::create_directories(root / "allowed");
        std::ofstream(root / "secret") << secret << "\n";
        for (const auto &it : others) {
            std::ofstream(root / "allowed" / std::to_string(std::hash<std::string>()(it))) << it << "\n";
        }
    }

    ~KeyFolder()
    {
        std::filesystem::remove_all(root);
    }

    CurveOptions options(const std::string &serverKey = {}) const
    {
        return { (root / "secret").string(), serverKey, (root / "allowed").string() };
    }
};

} // namespace

TEST_F(MessageSocketTest, ThousandsOfCrossedAnswersMatchTheirRequests)
{
    constexpr std::uint64_t kRequests = 5000;
    const auto client = open();
    const auto server = open();
    std::vector<wire::Envelope> held;
    server->setHandler([&](const wire::Envelope &envelope) {
        held.push_back(envelope);
        if (held.size() < 50) {
            return;
        }
        // Replies are sent in reverse order, so that they cross later requests.
        for (; !held.empty(); held.pop_back()) {
            wire::Envelope reply;
            reply.mutable_forward_reply()->set_request(held.back().forward_request().request());
            reply.mutable_forward_reply()->set_body(std::to_string(held.back().forward_request().request()));
            EXPECT_TRUE(server->send(held.back().sender(), reply));
        }
    });
    std::map<std::uint64_t, int> answers;
    client->setHandler([&](const wire::Envelope &envelope) {
        const auto &reply = envelope.forward_reply();
        EXPECT_EQ(reply.body(), std::to_string(reply.request()));
        ++answers[reply.request()];
    });
    std::uint64_t sent = 0;
    const auto timer = loop->every(1ms, [&] {
        for (int i = 0; i < 100 && sent < kRequests; ++i) {
            ASSERT_TRUE(client->send(server->address(), request(++sent)));
        }
    });
    ASSERT_TRUE(runUntil([&] { return answers.size() == kRequests; }));
    for (const auto &it : answers) {
        EXPECT_EQ(it.second, 1);
    }
    EXPECT_EQ(client->counters().dropped + server->counters().dropped, 0U);
}

// Guards against a request, answer or record that its receiver drops because a header or the target is not UTF-8.
TEST_F(MessageSocketTest, CarriesHeadersAndTargetsOfAnyBytes)
{
    const std::string bytes = "caf\xe9 \xff";
    const auto sender = open();
    const auto receiver = open();
    std::vector<wire::Envelope> received;
    receiver->setHandler([&](const wire::Envelope &it) { received.push_back(it); });
    wire::Envelope envelope;
    auto &request = *envelope.mutable_forward_request();
    request.set_method("POST");
    request.set_target("/" + bytes);
    request.add_headers()->set_value(bytes);
    ASSERT_TRUE(sender->send(receiver->address(), envelope));
    envelope.mutable_forward_reply()->add_headers()->set_value(bytes);
    ASSERT_TRUE(sender->send(receiver->address(), envelope));
    envelope.mutable_transfer_records()->add_records()->add_headers()->set_value(bytes);
    ASSERT_TRUE(sender->send(receiver->address(), envelope));
    ASSERT_TRUE(runUntil([&] { return received.size() + receiver->counters().undecodable == 3; }));
    ASSERT_EQ(receiver->counters().undecodable, 0U);
    EXPECT_EQ(received[0].forward_request().target(), "/" + bytes);
    EXPECT_EQ(received[0].forward_request().headers(0).value(), bytes);
    EXPECT_EQ(received[1].forward_reply().headers(0).value(), bytes);
    EXPECT_EQ(received[2].transfer_records().records(0).headers(0).value(), bytes);
}

TEST_F(MessageSocketTest, KeepsTheOrderAndDeliversToItself)
{
    const auto a = open();
    const auto b = open();
    std::vector<std::uint64_t> got;
    b->setHandler([&](const wire::Envelope &envelope) { got.push_back(envelope.forward_request().request()); });
    for (std::uint64_t i = 0; i < 1000; ++i) {
        ASSERT_TRUE(a->send(b->address(), request(i)));
    }
    ASSERT_TRUE(runUntil([&] { return got.size() == 1000; }));
    EXPECT_TRUE(std::is_sorted(got.begin(), got.end()));
    b->send(b->address(), request(7));
    ASSERT_TRUE(runUntil([&] { return got.size() == 1001; }));
    EXPECT_EQ(got.back(), 7U);
}

TEST_F(MessageSocketTest, MalformedInputIsCountedAndDropped)
{
    const auto socket = open();
    socket->setHandler([](const wire::Envelope &envelope) { FAIL() << envelope.ShortDebugString(); });
    void *context = zmq_ctx_new();
    void *dealer = zmq_socket(context, ZMQ_DEALER);
    ASSERT_EQ(zmq_connect(dealer, socket->address().c_str()), 0);
    zmq_send(dealer, "\xff\xff garbage", 10, 0);
    zmq_send(dealer, "", 0, 0);
    zmq_send(dealer, "two", 3, ZMQ_SNDMORE);
    zmq_send(dealer, "frames", 6, 0);
    const auto raw = RawSocket::connectTo(portOf(*socket));
    raw.write(std::string("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0BOGUS", 17) + std::string(47, '\0'));
    EXPECT_TRUE(runUntil([&] { return socket->counters().undecodable == 3 && socket->counters().rejectedPeers >= 1; }));
    zmq_close(dealer);
    zmq_ctx_term(context);
}

TEST_F(MessageSocketTest, UnreachablePeerNeverBlocksAndItsMessagesAreDropped)
{
    MessageSocketOptions options;
    options.highWaterMark = 10;
    options.maxQueueAge = 50ms;
    const auto socket = open({}, options);
    std::string unreachable;
    {
        unreachable = open()->address();
    }
    int accepted = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        accepted += socket->send(unreachable, request(i)) ? 1 : 0;
    }
    EXPECT_EQ(accepted, 10);
    EXPECT_EQ(socket->counters().dropped, 90U);
    EXPECT_TRUE(runUntil([&] { return socket->counters().dropped == 100; }));
    EXPECT_FALSE(socket->send("inproc://x", request(1)));
    EXPECT_FALSE(socket->send("tcp://no port", request(1)));
}

// Guards against messages that are dropped without a trace because no socket can be created for their peer.
TEST_F(MessageSocketTest, PeerWithoutASocketIsLogged)
{
    const auto socket = open();
    const auto address = open()->address();
    const DescriptorLimit limit;
    EXPECT_FALSE(socket->send(address, request(1)));
    EXPECT_EQ(logger.count(Events::kMessageTransportFailed), 1);
}

// Guards against a connection that no longer sends its queued messages after it could not be opened anew.
TEST_F(MessageSocketTest, ConnectionOutlivesAFailureToReopenIt)
{
    MessageSocketOptions options;
    options.maxQueueAge = 2500ms; // Longer than the blocked time after which a connection is reopened.
    const auto socket = open({}, options);
    options.address = open()->address();
    {
        const auto isDropped = [&] { return socket->counters().dropped == 1; };
        EXPECT_TRUE(socket->send(options.address, request(1)));
        const DescriptorLimit limit;
        EXPECT_TRUE(runUntil(isDropped));
    }
    EXPECT_EQ(logger.count(Events::kMessageTransportFailed), 1);
    EXPECT_TRUE(socket->send(options.address, request(2)));
    const auto peer = valueOf(MessageSocket::create(*loop, options, logger));
    std::uint64_t received = 0;
    peer->setHandler([&](const wire::Envelope &it) { received = it.forward_request().request(); });
    EXPECT_TRUE(runUntil([&] { return received == 2 || socket->counters().dropped == 2; }));
    EXPECT_EQ(received, 2U);
}

TEST_F(MessageSocketTest, CurveAdmitsAllowedKeysAndRejectsOthers)
{
    const KeyFolder known("known");
    const KeyFolder stranger("stranger");
    const KeyFolder server("server", { known.publicKey });
    const auto receiver = open(server.options());
    const auto allowedClient = open(known.options(server.publicKey));
    const auto unknownClient = open(stranger.options(server.publicKey));
    const auto clientWithoutCurve = open();
    std::set<std::uint64_t> got;
    receiver->setHandler([&](const wire::Envelope &envelope) { got.insert(envelope.forward_request().request()); });
    unknownClient->send(receiver->address(), request(1));
    clientWithoutCurve->send(receiver->address(), request(2));
    ASSERT_TRUE(runUntil([&] { return receiver->counters().rejectedPeers >= 2; }));
    allowedClient->send(receiver->address(), request(3));
    ASSERT_TRUE(runUntil([&] { return !got.empty(); }));
    EXPECT_EQ(got, std::set<std::uint64_t>{ 3 });
    // A peer whose key is allowed later can connect although its first handshake failed.
    std::ofstream(server.root / "allowed" / "later") << stranger.publicKey << "\n";
    ASSERT_TRUE(receiver->reloadKeys());
    const auto timer = loop->every(50ms, [&] { unknownClient->send(receiver->address(), request(4)); });
    ASSERT_TRUE(runUntil([&] { return got.contains(4); }));
}

TEST_F(MessageSocketTest, BadKeyFilesAreNamed)
{
    const KeyFolder keys("bad");
    std::ofstream(keys.root / "allowed" / "x") << "short\n";
    const auto message = handleError(
        [&]() -> Result<std::string> {
            MessageSocketOptions options;
            options.address = "tcp://127.0.0.1:0";
            options.curve = keys.options();
            BOOST_LEAF_CHECK(MessageSocket::create(*loop, options, logger));
            return std::string();
        },
        [](const Error &error) { return error.message; });
    EXPECT_NE(message.find("allowed/x"), std::string::npos) << message;
}
