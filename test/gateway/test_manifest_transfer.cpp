// Guards against a change of many routes that takes longer on the links than the time in which a manifest must be in force at each gateway.
#include "fleet/controller.h"
#include "gateway/fake_grant_port.h"
#include "gateway/fleet_client.h"
#include "link/listener.h"

#include <filesystem>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>
#include <unistd.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t kPeerPort = 17190;
constexpr auto kLimit = 20s; ///< Timeout of each step; much longer than a step takes.

/// Loopback address that is unique to this process, so that tests can run in parallel.
std::string nodeIp(int number)
{
    const int pid = ::getpid();
    return fmt::format("127.{}.{}.{}", 1 + pid / 250 % 250, pid % 250, number);
}

class RouteCodec : public ManifestCodec
{
public:
    Result<Manifest> decode(const wire::ManifestDocument &document) const override
    {
        Manifest manifest;
        manifest.version = document.version();
        for (const auto &[name, text] : document.routes()) {
            manifest.routes[name].host = text;
        }
        return manifest;
    }
};

/// A controller, and the client of a gateway that reaches it through a relay, which counts the bytes to the gateway.
class ManifestTransferTest : public testing::Test
{
protected:
    ManifestTransferTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_random(20261205)
        , m_controller(createController())
        , m_relay(Listener::listen(
                      *m_loop, { nodeIp(2), kPeerPort }, [this](int descriptor, const std::string &peer) { relay(descriptor, peer); })
                      .value())
        , m_links(
              *m_loop,
              m_logger,
              { nodeIp(3), kPeerPort },
              [this](const std::string &peer, const wire::PeerMessage &message) { m_client.receive(peer, message.update()); },
              [this](const std::string &peer, bool, const std::string &) { m_client.onPeerClosed(peer); })
        , m_view(m_clock, m_logger, m_codec)
        , m_instance(*m_loop, m_logger, m_grantPort, BackendIdentity{ "127.0.0.2:1", "svc" }, 1500ms)
        , m_client(*m_loop, m_links, m_logger, m_view, m_instance, nodeIp(3), "a", { nodeIp(2) })
    {
    }

    ~ManifestTransferTest() override
    {
        m_controller.reset();
        std::filesystem::remove_all(m_folder);
    }

    std::unique_ptr<Controller> createController()
    {
        ControllerOptions options;
        options.group.dataFolder = m_folder.string();
        options.group.failureDomain = "a";
        options.group.ip = nodeIp(1);
        options.group.seeds = { nodeIp(1) };
        options.group.firstStart = true;
        options.peerPort = kPeerPort;
        return Controller::create({ *m_loop, m_random, m_logger, m_codec }, options).value();
    }

    void relay(int descriptor, const std::string &peer)
    {
        MessageChannel::Handlers up;
        up.onMessage = [this](const auto &, wire::PeerMessage message) {
            if (m_isEarlierGateway) {
                message.mutable_announce()->clear_accepts_compressed();
            }
            m_controllerSide->send(message);
        };
        up.onClosed = [](const auto &, const std::string &) {};
        m_gatewaySide = MessageChannel::accept(*m_loop, descriptor, peer, std::move(up));
        MessageChannel::Handlers down;
        down.onMessage = [this](const auto &, const wire::PeerMessage &message) {
            m_compressedUpdates += message.update().compressed_manifest().empty() ? 0 : 1;
            m_bytes += message.ByteSizeLong();
            m_gatewaySide->send(message);
        };
        down.onClosed = [](const auto &, const std::string &) {};
        m_controllerSide = MessageChannel::connect(*m_loop, { nodeIp(1), kPeerPort }, nodeIp(4), std::move(down));
    }

    std::string word(std::size_t n)
    {
        std::string text;
        while (text.size() < n) {
            text += static_cast<char>('a' + m_letters() % 26);
        }
        return text;
    }

    void addRoutes(std::uint64_t version, int count)
    {
        wire::FleetCommand command;
        auto &change = *command.mutable_change_manifest();
        change.set_order(std::to_string(version));
        change.set_base_version(m_controller->group().state().manifest().version());
        change.mutable_upsert()->set_version(version);
        for (int i = 0; i < count; ++i) {
            (*change.mutable_upsert()->mutable_routes())["r-" + word(7)]
                = fmt::format(R"({{"host":"{}.example","maxAttempts":2,"pathPrefix":"/{}/{}/","priority":1,"routeType":"unsafe",)"
                              R"("service":"{}","targetLatency":"400ms","timeout":"1500ms"}})",
                              word(6),
                              word(7),
                              word(6),
                              i % 2 == 0 ? "wuno96b" : "huvo11a");
        }
        m_controller->group().propose(command, [](std::optional<CommandOutcome>) {});
    }

    bool waitForVersion(std::uint64_t version)
    {
        return m_loop->runUntil([&] { return m_view.manifestVersion() == version; }, kLimit);
    }

    SystemClock m_clock;
    NullLogger m_logger;
    RouteCodec m_codec;
    std::unique_ptr<EventLoop> m_loop;
    SeededRandom m_random;
    std::mt19937 m_letters{ 20261205 }; // NOLINT(bugprone-random-generator-seed)
    std::filesystem::path m_folder = std::filesystem::temp_directory_path() / fmt::format("manifest-transfer-{}", ::getpid());
    std::unique_ptr<Controller> m_controller;
    std::shared_ptr<MessageChannel> m_gatewaySide;
    std::shared_ptr<MessageChannel> m_controllerSide;
    bool m_isEarlierGateway = false; ///< The announcements do not say that compressed updates are accepted.
    int m_compressedUpdates = 0;
    std::size_t m_bytes = 0; ///< Of all messages from the controller to the gateway.
    std::unique_ptr<Listener> m_relay;
    PeerLinks m_links;
    FleetView m_view;
    FakeGrantPort m_grantPort;
    LocalInstance m_instance;
    FleetClient m_client;
};

} // namespace

// Guards against gateways that still route by the former manifest because the leader's link is occupied with a change of many routes.
TEST_F(ManifestTransferTest, AChangeOf5000RoutesFitsTheLinksOfTheLeaderAndTheGateways)
{
    constexpr std::size_t kGateways = 64;
    constexpr std::size_t kLeaderBytesPerSecond = 170'000'000 / 8;
    constexpr std::size_t kGatewayBytesPerSecond = 3'800'000 / 8;
    constexpr std::size_t kSecondsToApply = 2;
    ASSERT_TRUE(m_loop->runUntil([this] { return m_client.isConnected(); }, kLimit));
    addRoutes(1, 100);
    ASSERT_TRUE(waitForVersion(1));
    m_bytes = 0;
    addRoutes(2, 5000);
    ASSERT_TRUE(waitForVersion(2));
    RecordProperty("bytes", std::to_string(m_bytes));
    EXPECT_EQ(m_view.manifest()->manifest.routes.size(), 5100U);
    EXPECT_LE(kGateways * m_bytes, kSecondsToApply * kLeaderBytesPerSecond);
    EXPECT_LE(m_bytes, kSecondsToApply * kGatewayBytesPerSecond);
}

// Guards against compressed updates to a gateway of an earlier release, which would keep its manifest without a word.
TEST_F(ManifestTransferTest, AGatewayThatDoesNotAcceptCompressedUpdatesIsSentNone)
{
    m_isEarlierGateway = true;
    ASSERT_TRUE(m_loop->runUntil([this] { return m_client.isConnected(); }, kLimit));
    addRoutes(1, 10);
    ASSERT_TRUE(waitForVersion(1));
    addRoutes(2, 10);
    ASSERT_TRUE(waitForVersion(2));
    EXPECT_EQ(m_view.manifest()->manifest.routes.size(), 20U);
    EXPECT_EQ(m_compressedUpdates, 0);
}
