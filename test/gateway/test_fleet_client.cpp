#include "gateway/fleet_client.h"

#include "gateway/fake_grant_port.h"

#include "link/free_port.h"
#include "link/listener.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

constexpr const char *kGatewayIp = "127.0.0.2";
constexpr const char *kControllerIp = "127.0.0.1";

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

class FleetClientTest : public testing::Test
{
protected:
    FleetClientTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_port(freePort())
        , m_links(
              *m_loop,
              m_logger,
              { kGatewayIp, m_port },
              [this](const std::string &peer, const wire::PeerMessage &message) { m_client.receive(peer, message.update()); },
              [this](const std::string &peer, bool, const std::string &) { m_client.onPeerClosed(peer); })
        , m_view(m_clock, m_logger, m_codec)
        , m_instance(*m_loop, m_logger, m_grantPort, BackendIdentity{ "127.0.0.2:1", "svc" }, 1500ms)
        , m_client(*m_loop, m_links, m_logger, m_view, m_instance, kGatewayIp, "a", { kControllerIp })
        , m_listener(Listener::listen(*m_loop, { kControllerIp, m_port }, [this](int descriptor, const std::string &) {
                         ++m_connections;
                         m_descriptor = descriptor;
                     }).value())
    {
    }

    ~FleetClientTest() override
    {
        ::close(m_descriptor);
    }

    /// Frame of an update with a manifest of the given version, about 100 KB.
    static std::string updateFrame(std::uint64_t version)
    {
        wire::PeerMessage message;
        auto &update = *message.mutable_update();
        update.set_term(1);
        update.mutable_manifest()->set_version(version);
        update.mutable_manifest()->set_limits(std::string(100'000, 'x'));
        const auto body = message.SerializeAsString();
        const auto n = htonl(static_cast<std::uint32_t>(body.size()));
        return std::string(reinterpret_cast<const char *>(&n), sizeof n) + body;
    }

    void sendBytes(std::string_view data)
    {
        ASSERT_EQ(::send(m_descriptor, data.data(), data.size(), MSG_NOSIGNAL), static_cast<ssize_t>(data.size()));
    }

    void run(Duration time)
    {
        m_loop->runUntil([] { return false; }, time);
    }

    SystemClock m_clock;
    NullLogger m_logger;
    NoCodec m_codec;
    std::unique_ptr<EventLoop> m_loop;
    std::uint16_t m_port;
    PeerLinks m_links;
    FleetView m_view;
    FakeGrantPort m_grantPort;
    LocalInstance m_instance;
    FleetClient m_client;
    int m_connections = 0;
    int m_descriptor = -1;
    std::unique_ptr<Listener> m_listener;
};

} // namespace

// Guards against a gateway that takes a large update on a slow link for silence: it turned to another controller, which had to send all
// of it again, until many gateways were seconds behind.
TEST_F(FleetClientTest, ALargeUpdateOnASlowLinkIsNoSilence)
{
    ASSERT_TRUE(m_loop->runUntil([this] { return m_connections == 1; }, 2s));
    const auto frame = updateFrame(7);
    constexpr std::size_t kSlices = 8;
    for (std::size_t n = 0; n < kSlices; ++n) {
        const auto first = n * frame.size() / kSlices;
        const auto end = (n + 1) * frame.size() / kSlices;
        sendBytes(std::string_view(frame).substr(first, end - first));
        run(200ms);
    }
    EXPECT_EQ(m_view.manifestVersion(), 7U);
    EXPECT_EQ(m_connections, 1);
    EXPECT_TRUE(m_client.isConnected());
}

// Guards against waiting without end for the rest of an update from a controller that has become unreachable.
TEST_F(FleetClientTest, AnUpdateThatStopsArrivingIsSilence)
{
    ASSERT_TRUE(m_loop->runUntil([this] { return m_connections == 1; }, 2s));
    const auto frame = updateFrame(7);
    sendBytes(std::string_view(frame).substr(0, frame.size() / 2));
    EXPECT_TRUE(m_loop->runUntil([this] { return m_connections > 1; }, 2s));
}
