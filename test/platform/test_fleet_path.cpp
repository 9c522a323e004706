// Guards against failures in the interaction of all parts, without the bench: controllers that form one group from seeds, an operator's
// manifest, backend servers that register themselves and hold keys, and requests through any gateway. Each node has its own loopback
// address.
#include "fleet/controller.h"
#include "fleet/events.h"
#include "gateway/events.h"
#include "gateway/gateway.h"
#include "platform/one_shot_client.h"
#include "platform/platform_backend.h"
#include "platform/platform_interface.h"

#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace Toucandeck;
using namespace Toucandeck::Standin;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint16_t kPeerPort = 17180;
constexpr std::uint16_t kOperatorPort = 17181;
constexpr std::uint16_t kOutboundPort = 17182;
constexpr std::uint16_t kBackendPort = 17183;
constexpr std::uint16_t kInstancePort = 17184;

/// Loopback address that is unique to this process, so that tests can run in parallel.
std::string nodeIp(int number)
{
    const int pid = ::getpid();
    return fmt::format("127.{}.{}.{}", 1 + pid / 250 % 250, pid % 250, number);
}

constexpr seconds kLimit{ 30 }; ///< Timeout of each step; much longer than a step takes.

class FleetPathTest : public testing::Test
{
protected:
    /// As the programs do: a write to a connection that the other side has just closed must not end the process.
    static void SetUpTestSuite()
    {
        std::signal(SIGPIPE, SIG_IGN);
    }

    FleetPathTest()
        : m_loop(EventLoop::create(m_clock).value())
        , m_random(20261204)
    {
        const std::vector<std::string> ips{ nodeIp(1), nodeIp(2), nodeIp(3) };
        for (const auto &it : ips) {
            startController(it, ips);
        }
        for (const auto &it : { nodeIp(11), nodeIp(12) }) {
            startGateway(it, ips);
            startBackend(it);
        }
    }

    ~FleetPathTest() override
    {
        m_servers.clear();
        m_backends.clear();
        m_gateways.clear();
        m_controllers.clear();
        std::filesystem::remove_all(m_folder);
    }

    void startController(const std::string &ip, const std::vector<std::string> &seeds)
    {
        ControllerOptions options;
        options.group.dataFolder = (m_folder / ip).string();
        options.group.failureDomain = ip;
        options.group.ip = ip;
        options.group.operatorAddress = SocketAddress{ ip, kOperatorPort }.toString();
        options.group.seeds = seeds;
        options.group.firstStart = true;
        options.peerPort = kPeerPort;
        options.leases.settlingTime = milliseconds(500);
        m_controllers.push_back(Controller::create({ *m_loop, m_random, m_logger, m_interface.manifestCodec() }, options).value());
        auto *it = m_controllers.back().get();
        serve({ ip, kOperatorPort }, [this, it](const auto &exchange) { m_interface.handleOperator(*it, exchange); });
    }

    void startGateway(const std::string &ip, const std::vector<std::string> &seeds)
    {
        GatewayOptions options;
        options.ip = ip;
        options.failureDomain = ip;
        options.service = "svc";
        options.backend = { ip, kBackendPort };
        options.outbound = { ip, kOutboundPort };
        options.peerPort = kPeerPort;
        options.seeds = seeds;
        const GatewayParts parts{
            *m_loop, m_random, m_logger, m_metrics, m_interface.headers(), m_interface.manifestCodec(), m_interface.grantCodec()
        };
        m_gateways.push_back(Gateway::create(parts, options).value());
        auto *it = m_gateways.back().get();
        serve({ ip, kInstancePort }, [this, it](const auto &exchange) { m_interface.handleInstance(*it, exchange); });
    }

    void startBackend(const std::string &ip)
    {
        PlatformBackendOptions backend;
        backend.listen = { ip, kBackendPort };
        backend.announced = backend.listen;
        backend.control = { ip, kInstancePort };
        backend.service = "svc";
        backend.failureDomain = ip;
        m_backends.push_back(std::make_unique<PlatformBackend>(*m_loop, backend, m_audit));
        m_backends.back()->start().value();
    }

    void serve(const SocketAddress &address, PipelinedServer::Handler handler)
    {
        m_servers.push_back(PipelinedServer::create(
                                *m_loop, address, [] { return HttpLimits{}; }, std::move(handler))
                                .value());
    }

    /// Sends an operator's request to each controller in turn until one returns a final response.
    int sendOperatorRequest(const std::string &method, const std::string &target, const std::string &body, std::string *answer = nullptr)
    {
        const auto end = m_clock.now() + kLimit;
        while (m_clock.now() < end) {
            for (std::size_t i = 0; i < m_controllers.size(); ++i) {
                const auto ip = nodeIp(static_cast<int>(i) + 1);
                const auto response
                    = OneShotClient(*m_loop, { ip, kOperatorPort }).send({ method, target, { { "Host", "x" } }, body }, kLimit);
                if (response && response->status != 307 && response->status != 503) {
                    if (answer != nullptr) {
                        *answer = response->body;
                    }
                    return response->status;
                }
            }
            m_loop->runUntil([] { return false; }, milliseconds(100));
        }
        return 0;
    }

    static std::string manifest(std::uint64_t version, std::uint64_t base, bool keyed)
    {
        nlohmann::json body;
        body["version"] = version;
        body["baseVersion"] = base;
        body["routes"]["r"] = { { "host", "a.example" }, { "pathPrefix", "/x/" }, { "routeType", "safe" },
                                { "timeout", "5s" },     { "service", "svc" },    { "maxAttempts", 2 } };
        body["services"]["svc"] = { { "healthPath", "/health" }, { "sharded", keyed } };
        return body.dump();
    }

    std::optional<HttpResponse> request(const std::string &gateway, const std::string &target, std::optional<int> key = std::nullopt)
    {
        HttpRequest request{ "GET", target, {}, {} };
        request.headers = { { "Host", "a.example" },
                            { "X-Toucandeck-Request-Id", "id-" + std::to_string(++m_requests) },
                            { "X-Toucandeck-Deadline-Ms", "5000" } };
        if (key) {
            request.headers.push_back({ "X-Toucandeck-Shard-Key", std::to_string(*key) });
        }
        return OneShotClient(*m_loop, { gateway, kOutboundPort }).send(request, kLimit);
    }

    /// Value of a field in the first log line of @p event about the latest request; empty if there is none.
    std::string loggedField(const Event &event, const std::string &name) const
    {
        const auto valueOf = [](const RecordingLogger::Entry &entry, const std::string &field) {
            const auto it = std::find_if(entry.fields.begin(), entry.fields.end(), [&](const auto &f) { return f.name == field; });
            return it == entry.fields.end() ? std::string() : std::string(it->value);
        };
        for (const auto &it : m_logger.entries()) {
            if (it.number == event.number && valueOf(it, "request") == "id-" + std::to_string(m_requests)) {
                return valueOf(it, name);
            }
        }
        return {};
    }

    /// Value of a field in the last log line about a gateway that a controller wrote, from the line with index @p first on; empty if
    /// there is none.
    std::string lastSeen(const std::string &router, const std::string &name, std::size_t first) const
    {
        std::string value;
        for (auto i = first; i < m_logger.entries().size(); ++i) {
            const auto &entry = m_logger.entries()[i];
            const auto isRouter = [&](const auto &it) { return it.name == "router" && it.value == router; };
            if (entry.number != FleetEvents::kRouterSeen.number || std::none_of(entry.fields.begin(), entry.fields.end(), isRouter)) {
                continue;
            }
            const auto it = std::find_if(entry.fields.begin(), entry.fields.end(), [&](const auto &field) { return field.name == name; });
            value = it == entry.fields.end() ? std::string() : std::string(it->value);
        }
        return value;
    }

    /// True once the gateway has served a request.
    bool serves(const std::string &gateway)
    {
        const auto end = m_clock.now() + kLimit;
        while (m_clock.now() < end) {
            const auto response = request(gateway, "/x/1");
            if (response && response->status == 200) {
                return true;
            }
            m_loop->runUntil([] { return false; }, milliseconds(100));
        }
        return false;
    }

    bool metricsContain(const std::string &line)
    {
        m_gateways.front()->updateMetrics();
        return m_metrics.text().find(line) != std::string::npos;
    }

    bool allHoldKeys()
    {
        return std::all_of(m_backends.begin(), m_backends.end(), [](const auto &it) { return it->heldRows() > 0; });
    }

    BootClock m_clock;
    RecordingLogger m_logger;
    Metrics m_metrics;
    std::unique_ptr<EventLoop> m_loop;
    SeededRandom m_random;
    platform::PlatformInterface m_interface;
    std::filesystem::path m_folder = std::filesystem::temp_directory_path() / ("fleet-path-" + std::to_string(::getpid()));
    std::vector<std::unique_ptr<Controller>> m_controllers;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    RunAudit m_audit;
    std::vector<std::unique_ptr<PlatformBackend>> m_backends;
    std::vector<std::unique_ptr<PipelinedServer>> m_servers;
    int m_requests = 0;
};

/// What another writer on the VM may send to the gateway: not of the service of the settings, incomplete or unreadable.
class OtherWriterTest : public FleetPathTest
{
protected:
    static constexpr std::size_t kFirstGatewayServer = 3; ///< After those of the controllers.

    std::int64_t unixMs() const
    {
        return std::chrono::duration_cast<milliseconds>(m_clock.wallNow().time_since_epoch()).count();
    }

    /// A heartbeat of the backend server beside the first gateway, with a later start.
    nlohmann::json heartbeat() const
    {
        return { { "service", "svc" },
                 { "address", SocketAddress{ nodeIp(11), kBackendPort }.toString() },
                 { "zone", nodeIp(11) },
                 { "version", "v1" },
                 { "slots", 4 },
                 { "state", "ready" },
                 { "coldRemaining", "0ms" },
                 { "seqNum", 1'000'000 },
                 { "born", unixMs() + 60'000 },
                 { "holds", { { 0, 65535, 1 } } },
                 { "freed", { { 0, 65535, "5c0e" } } } };
    }

    /// @param isKeyed The service is divided by key; otherwise the lists of keys may be missing.
    std::vector<std::string> heartbeats(bool isKeyed) const
    {
        std::vector<std::string> all{ "", "nonsense", "[]", "{\"service\":\"\xff\xfe\"}" };
        for (const char *state : { "ready", "draining", "asleep" }) {
            for (const std::int64_t born : { std::int64_t(1), unixMs() + 60'000 }) {
                auto it = heartbeat();
                it["service"] = "audit-agent";
                it["state"] = state;
                it["born"] = born;
                all.push_back(it.dump());
            }
        }
        const auto complete = heartbeat();
        for (const auto &[name, value] : complete.items()) {
            auto it = complete;
            if (!value.is_array() || isKeyed) {
                it.erase(name);
                all.push_back(it.dump());
            }
            it[name] = nullptr;
            all.push_back(it.dump());
            if (name != "state") {
                it["state"] = "draining";
                all.push_back(it.dump());
            }
        }
        return all;
    }

    static std::vector<std::string> notices()
    {
        return { "nonsense", "[]", "{\"id\":\"\xff\xfe\"}", R"({"born":"now"})", R"({"born":4000000000000,"service":"audit-agent"})" };
    }

    /// Sends everything to the first gateway, under the id of its backend server and under another one.
    void sendAll(bool isKeyed = true)
    {
        const SocketAddress gateway{ nodeIp(11), kInstancePort };
        for (const std::string &id : { m_backends.front()->instance(), std::string("w-0") }) {
            const auto target = "/toucandeck/instances/" + id + "/";
            for (const auto &it : heartbeats(isKeyed)) {
                EXPECT_TRUE(OneShotClient(*m_loop, gateway).send({ "POST", target + "heartbeat", { { "Host", "x" } }, it }, kLimit)) << it;
            }
            for (const auto &it : notices()) {
                const auto response
                    = OneShotClient(*m_loop, gateway).send({ "POST", target + "deregister", { { "Host", "x" } }, it }, kLimit);
                EXPECT_EQ(response ? response->status : 0, 400) << it;
            }
        }
    }

    /// Starts the first gateway again; no heartbeat has come when this returns.
    void restartGateway()
    {
        m_servers.erase(m_servers.begin() + kFirstGatewayServer); // It refers to the gateway.
        m_gateways.erase(m_gateways.begin());
        startGateway(nodeIp(11), { nodeIp(1), nodeIp(2), nodeIp(3) });
        std::rotate(m_gateways.begin(), m_gateways.end() - 1, m_gateways.end());
        std::rotate(m_servers.begin() + kFirstGatewayServer, m_servers.end() - 1, m_servers.end());
    }

    bool doHoldingsOverlap() const
    {
        for (std::uint32_t key = 0; key < kKeyCount; key += 64) {
            if (m_backends[0]->holds(key) && m_backends[1]->holds(key)) {
                return true;
            }
        }
        return false;
    }

    /// True if for longer than a lease no key has two holders, and both backend servers hold keys at the end.
    bool staysWithItsHolders()
    {
        bool overlap = false;
        m_loop->runUntil(
            [&] {
                overlap = overlap || doHoldingsOverlap();
                return overlap;
            },
            seconds(5));
        return !overlap && m_loop->runUntil([this] { return allHoldKeys(); }, kLimit);
    }

    void expectNoTrace(std::size_t mark) const
    {
        EXPECT_TRUE(m_audit.violations().empty());
        for (const auto &it : m_controllers) {
            EXPECT_TRUE(it->group().state().leavingBeside(nodeIp(11)).names().empty());
        }
        for (auto i = mark; i < m_logger.entries().size(); ++i) {
            const auto &entry = m_logger.entries()[i];
            EXPECT_NE(entry.number, FleetEvents::kHolderLost.number);
            if (entry.number == GatewayEvents::kInstanceStarted.number || entry.number == FleetEvents::kRouterSeen.number) {
                for (const auto &it : entry.fields) {
                    EXPECT_NE(it.value, "audit-agent");
                    EXPECT_FALSE(it.name == "incarnation" && it.value.starts_with("w-0")) << it.value;
                }
            }
        }
    }
};

} // namespace

TEST_F(FleetPathTest, ServesKeysOfAllHoldersThroughEveryGateway)
{
    EXPECT_EQ(request(nodeIp(11), "/x/1", 0)->status, 503); // No manifest is known yet.
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, true)), 200);
    ASSERT_TRUE(m_loop->runUntil([this] { return allHoldKeys(); }, kLimit));
    for (const auto &gateway : { nodeIp(11), nodeIp(12) }) {
        for (const int key : { 0, 40000, 65535 }) {
            const auto response = request(gateway, "/x/1", key);
            ASSERT_TRUE(response);
            EXPECT_EQ(response->status, 200);
            EXPECT_EQ(response->body, "id-" + std::to_string(m_requests));
            EXPECT_TRUE(response->header("X-Toucandeck-Response-Seal"));
        }
    }
    EXPECT_EQ(m_backends[0]->requestsRun() + m_backends[1]->requestsRun(), 6U);
    for (const auto &it : m_backends) {
        EXPECT_GT(it->requestsRun(), 0U);
        EXPECT_EQ(it->latestCaller(), "svc");
    }
    EXPECT_TRUE(m_audit.violations().empty());
    EXPECT_EQ(request(nodeIp(11), "/none/1", 0)->status, 404);
}

// Failure: after a change of the weights requests still went to a service of weight 0, and what was kept for routes that are gone stayed.
TEST_F(FleetPathTest, AChangedSplitIsInForceWithTheNextRequestAndADroppedOneIsForgotten)
{
    const auto split = [](std::uint64_t version, const std::string &route, int svc, int other) {
        auto body = nlohmann::json::parse(manifest(version, version - 1, false));
        body["routes"]["r"].erase("service");
        body["routes"]["r"]["weightedSplit"]
            = { { { "service", "svc" }, { "weight", svc } }, { { "service", "other" }, { "weight", other } } };
        body["services"]["other"] = body["services"]["svc"];
        body["routes"][route] = std::exchange(body["routes"]["r"], nullptr);
        if (route != "r") {
            body["routes"].erase("r");
        }
        return body.dump();
    };
    const auto change = [&](std::uint64_t version, const std::string &route, int svc, int other) {
        ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", split(version, route, svc, other)), 200);
        const auto isInForce = [&] { return metricsContain("toucandeck_manifest_version " + std::to_string(version)); };
        ASSERT_TRUE(m_loop->runUntil(isInForce, kLimit));
    };
    const std::string kept = "toucandeck_kept_names{kind=\"split\"} ";
    change(1, "r", 900, 100);
    ASSERT_TRUE(serves(nodeIp(11)));
    const auto before = m_audit.runs().size();
    for (int i = 0; i < 106; ++i) {
        request(nodeIp(11), "/x/1");
    }
    EXPECT_NEAR(static_cast<double>(m_audit.runs().size() - before), 95.4, 1); // There is no backend server of the other service.
    change(2, "r", 0, 1);
    for (int i = 0; i < 20; ++i) {
        ASSERT_EQ(request(nodeIp(11), "/x/1")->status, 503);
    }
    EXPECT_TRUE(metricsContain(kept + "1")) << m_metrics.text();
    change(3, "renamed", 1, 0);
    EXPECT_TRUE(metricsContain(kept + "0")) << m_metrics.text();
    EXPECT_EQ(request(nodeIp(11), "/x/1")->status, 200);
}

// Guards against a gateway or controller that ends because it cannot quote such bytes in its answer or cannot read them from its log.
TEST_F(FleetPathTest, RefusesBodiesAndPathsThatAreNotUtf8)
{
    const std::string bytes = "{\"service\":\xff\xfe}";
    const auto statusOf = [this](const SocketAddress &address, const std::string &target, const std::string &body) {
        const auto response = OneShotClient(*m_loop, address).send({ "POST", target, { { "Host", "x" } }, body }, kLimit);
        return response ? response->status : 0;
    };
    const SocketAddress instances{ nodeIp(11), kInstancePort };
    EXPECT_EQ(statusOf(instances, "/toucandeck/instances/i-1/heartbeat", bytes), 400);
    EXPECT_EQ(statusOf(instances, "/toucandeck/instances/i-\xff/heartbeat", "{}"), 400);
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", bytes), 400);
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/evacuations/\xff/start", {}), 400);
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(1, 0, true)), 200);
}

TEST_F(FleetPathTest, AnOperatorsOrdersAreAcknowledgedAgainRefusedOnOldVersionsAndReadBack)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, false)), 200);
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, false)), 200);
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(4, 0, false)), 412);
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 3, false)), 400);
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", "{"), 400);
    const std::string patch = R"({"version":9,"baseVersion":3,"remove":{"routes":["r"]}})";
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/config/patch", patch), 200);
    // Acknowledged again because it was accepted before.
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, false)), 200);
    std::string read;
    EXPECT_EQ(sendOperatorRequest("GET", "/toucandeck/config/get", {}, &read), 200);
    const auto current = nlohmann::json::parse(read);
    EXPECT_EQ(current["version"], 9);
    EXPECT_TRUE(current["routes"].empty());
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/evacuations/fd-a/start", {}), 200);
    EXPECT_EQ(sendOperatorRequest("POST", "/toucandeck/evacuations/fd-a/start", {}), 200);
}

TEST_F(FleetPathTest, WhatWasAcknowledgedSurvivesTheLossOfAController)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, false)), 200);
    const auto leads = [](const auto &it) { return it->group().isLeaderReady(); };
    const auto complete = [](const auto &it) { return it->group().voterCount() == 3; };
    ASSERT_TRUE(m_loop->runUntil([&] { return std::all_of(m_controllers.begin(), m_controllers.end(), complete); }, kLimit));
    const auto leader = std::find_if(m_controllers.begin(), m_controllers.end(), leads);
    ASSERT_NE(leader, m_controllers.end());
    // The leader's server refers to the controller and is destroyed with it.
    m_servers.erase(m_servers.begin() + (leader - m_controllers.begin()));
    m_controllers.erase(leader);
    ASSERT_TRUE(m_loop->runUntil([&] { return std::any_of(m_controllers.begin(), m_controllers.end(), leads); }, kLimit));
    const auto newLeader = std::find_if(m_controllers.begin(), m_controllers.end(), leads);
    EXPECT_EQ((*newLeader)->group().state().manifest().version(), 3U);
}

// The leader alone knew that the backend server of a restarted gateway had left; the next leader put it back into use (DRAIN).
TEST_F(FleetPathTest, ABackendServerThatLeftIsNotUsedAgainAfterItsGatewayAndTheLeaderWereLost)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, false)), 200);
    const auto complete = [](const auto &it) { return it->group().voterCount() == 3; };
    ASSERT_TRUE(m_loop->runUntil([&] { return std::all_of(m_controllers.begin(), m_controllers.end(), complete); }, kLimit));
    const auto ip = nodeIp(11);
    m_backends.front()->crash();
    Heartbeat beat;
    beat.instance = "left";
    beat.startUnixMs = 4'000'000'000'000; // Later than the process that has just ended.
    beat.sequence = 1;
    beat.service = "svc";
    beat.address = SocketAddress{ ip, kBackendPort }.toString();
    beat.slots = 9;
    m_gateways.front()->handleHeartbeat(beat, [](const auto &) {});
    m_gateways.front()->deregister({ "left", {}, {}, {} }, [](bool) {});
    const auto knows = [&](const auto &it) { return it->group().state().leavingBeside(ip).latest() == "left@4000000000000"; };
    ASSERT_TRUE(m_loop->runUntil([&] { return std::all_of(m_controllers.begin(), m_controllers.end(), knows); }, kLimit));

    m_servers.erase(m_servers.begin() + 3); // It refers to the gateway.
    m_gateways.erase(m_gateways.begin());
    const auto leads = [](const auto &it) { return it->group().isLeaderReady(); };
    const auto leader = std::find_if(m_controllers.begin(), m_controllers.end(), leads);
    ASSERT_NE(leader, m_controllers.end());
    m_servers.erase(m_servers.begin() + (leader - m_controllers.begin()));
    m_controllers.erase(leader);
    auto mark = m_logger.entries().size();
    startGateway(ip, { nodeIp(1), nodeIp(2), nodeIp(3) });
    ASSERT_TRUE(m_loop->runUntil([&] { return lastSeen(ip, "state", mark) == "ABSENT"; }, kLimit));
    beat.sequence = 2;
    mark = m_logger.entries().size();
    m_gateways.back()->handleHeartbeat(beat, [](const auto &) {});
    ASSERT_TRUE(m_loop->runUntil([&] { return lastSeen(ip, "incarnation", mark) == "left@4000000000000"; }, kLimit));
    EXPECT_EQ(lastSeen(ip, "recorded_state", mark), "DRAINING");
}

// Failure: a restarted gateway confirmed the notice of a backend server that it did not know yet, and used it again (review/9, DRAIN).
TEST_F(FleetPathTest, ANoticeBeforeTheFirstHeartbeatIsConfirmedOnceItOutlivesTheGateway)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, false)), 200);
    const auto ip = nodeIp(11);
    m_backends.front()->crash();
    Heartbeat beat;
    beat.instance = "left";
    beat.startUnixMs = std::chrono::duration_cast<milliseconds>(m_clock.wallNow().time_since_epoch()).count() - 60'000;
    beat.sequence = 7;
    beat.service = "svc";
    beat.address = SocketAddress{ ip, kBackendPort }.toString();
    beat.slots = 9;
    const auto restart = [&] {
        const auto mark = m_logger.entries().size();
        m_servers.erase(m_servers.begin() + 3); // It refers to the gateway.
        m_gateways.erase(m_gateways.begin());
        startGateway(ip, { nodeIp(1), nodeIp(2), nodeIp(3) });
        std::rotate(m_gateways.begin(), m_gateways.end() - 1, m_gateways.end());
        std::rotate(m_servers.begin() + 3, m_servers.end() - 1, m_servers.end());
        ASSERT_TRUE(m_loop->runUntil([&] { return lastSeen(ip, "state", mark) == "ABSENT"; }, kLimit));
    };
    restart();
    const auto response = OneShotClient(*m_loop, { ip, kInstancePort })
                              .send({ "POST", "/toucandeck/instances/left/deregister", { { "Host", "x" } }, {} }, kLimit);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_TRUE(std::any_of(m_controllers.begin(), m_controllers.end(), [&](const auto &it) {
        return it->group().state().leavingBeside(ip).covers("left@" + std::to_string(beat.startUnixMs));
    }));
    for (int i = 0; i < 2; ++i) {
        const auto mark = m_logger.entries().size();
        m_gateways.front()->handleHeartbeat(beat, [](const auto &) {});
        ASSERT_TRUE(m_loop->runUntil([&] { return !lastSeen(ip, "incarnation", mark).empty(); }, kLimit));
        EXPECT_EQ(lastSeen(ip, "recorded_state", mark), "DRAINING") << i;
        restart();
    }
    const auto mark = m_logger.entries().size();
    beat.instance = "successor";
    m_gateways.front()->handleHeartbeat(beat, [](const auto &) {});
    ASSERT_TRUE(m_loop->runUntil([&] { return lastSeen(ip, "recorded_state", mark) == "READY"; }, kLimit));
}

TEST_F(FleetPathTest, ANoticeIsNotConfirmedWhileNoControllerCanRecordIt)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, false)), 200);
    const auto deregister = [this] {
        const auto target = "/toucandeck/instances/" + m_backends.front()->instance() + "/deregister";
        const auto response
            = OneShotClient(*m_loop, { nodeIp(11), kInstancePort }).send({ "POST", target, { { "Host", "x" } }, {} }, kLimit);
        return response ? response->status : 0;
    };
    m_servers.erase(m_servers.begin(), m_servers.begin() + 2); // They refer to the controllers.
    m_controllers.erase(m_controllers.begin(), m_controllers.begin() + 2);
    EXPECT_EQ(deregister(), 503);
    const std::vector<std::string> ips{ nodeIp(1), nodeIp(2), nodeIp(3) };
    startController(ips[0], ips);
    startController(ips[1], ips);
    const auto end = m_clock.now() + kLimit;
    int status = 503;
    while (status == 503 && m_clock.now() < end) {
        status = deregister();
    }
    EXPECT_EQ(status, 200);
}

// The operators' page traces a request by its id, so each of these log lines must exist and name the next process to inspect.
TEST_F(FleetPathTest, TheLinesAboutAnAnsweredRequestNameItsGatewayAndBackendServer)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, true)), 200);
    ASSERT_TRUE(m_loop->runUntil([this] { return allHoldKeys(); }, kLimit));
    const int key = m_backends[1]->holds(0) ? 0 : kKeyCount - 1;
    ASSERT_EQ(request(nodeIp(11), "/x/1", key)->status, 200);
    EXPECT_EQ(loggedField(GatewayEvents::kRequestAnswered, "gateway"), nodeIp(12));
    EXPECT_EQ(loggedField(GatewayEvents::kRequestAnswered, "instance"), m_backends[1]->instance());
    EXPECT_EQ(loggedField(GatewayEvents::kCallRun, "instance"), m_backends[1]->instance());
    EXPECT_EQ(loggedField(GatewayEvents::kCallRun, "outcome"), "ANSWERED");
}

TEST_F(FleetPathTest, TheLinesAboutARefusedRequestNameTheReasonTheGatewayAndTheAgeOfWhatItKnew)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, true)), 200);
    ASSERT_TRUE(m_loop->runUntil([this] { return allHoldKeys(); }, kLimit));
    const int key = m_backends[1]->holds(0) ? 0 : kKeyCount - 1;
    m_backends[0]->crash(); // Otherwise the keys move there before the request's deadline.
    m_backends[1]->crash();
    ASSERT_EQ(request(nodeIp(11), "/x/1", key)->status, 503);
    EXPECT_EQ(loggedField(GatewayEvents::kAttemptFailed, "gateway"), nodeIp(12));
    const auto last = loggedField(GatewayEvents::kRequestRefused, "gateway"); // The keys may have moved meanwhile.
    EXPECT_TRUE(last == nodeIp(11) || last == nodeIp(12)) << last;
    EXPECT_FALSE(loggedField(GatewayEvents::kRequestRefused, "reason").empty());
    EXPECT_FALSE(loggedField(GatewayEvents::kRequestRefused, "view_age_ms").empty());
    EXPECT_EQ(loggedField(GatewayEvents::kRequestRefused, "manifest_version"), "3");
}

// Failure: the first heartbeat after a restart of a gateway came from another writer, and the keys of the backend server got second holders
// (review/11, OWNER).
TEST_F(OtherWriterTest, AfterARestartOfTheGatewayTheBackendServerKeepsItsKeys)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, true)), 200);
    ASSERT_TRUE(m_loop->runUntil([this] { return allHoldKeys(); }, kLimit));
    const auto mark = m_logger.entries().size();
    for (int i = 0; i < 2; ++i) {
        restartGateway();
        sendAll();
    }
    EXPECT_TRUE(staysWithItsHolders());
    expectNoTrace(mark);
    EXPECT_EQ(request(nodeIp(11), "/x/1", 0)->status, 200);
    EXPECT_EQ(request(nodeIp(11), "/x/1", 65535)->status, 200);
    for (const auto &it : m_backends) {
        EXPECT_EQ(it->latestCaller(), "svc");
    }
}

// The same without a restart, and without a manifest: then only the settings tell whose heartbeat it is.
TEST_F(OtherWriterTest, BeforeTheFirstManifestAndInCalmNothingIsTakenFromIt)
{
    const auto mark = m_logger.entries().size();
    sendAll();
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, true)), 200);
    ASSERT_TRUE(m_loop->runUntil([this] { return allHoldKeys(); }, kLimit));
    sendAll();
    EXPECT_TRUE(staysWithItsHolders());
    expectNoTrace(mark);
    EXPECT_EQ(request(nodeIp(11), "/x/1", 0)->status, 200);
}

// The gateway and all controllers start again, and the first messages come while no controller can be reached.
TEST_F(OtherWriterTest, WithoutContactToTheControllersNothingIsTakenFromIt)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, true)), 200);
    ASSERT_TRUE(m_loop->runUntil([this] { return allHoldKeys(); }, kLimit));
    const auto mark = m_logger.entries().size();
    m_servers.clear(); // They refer to the controllers and gateways.
    m_controllers.clear();
    m_gateways.erase(m_gateways.begin());
    auto *other = m_gateways.front().get();
    serve({ nodeIp(12), kInstancePort }, [this, other](const auto &exchange) { m_interface.handleInstance(*other, exchange); });
    const std::vector<std::string> ips{ nodeIp(1), nodeIp(2), nodeIp(3) };
    startGateway(nodeIp(11), ips);
    sendAll();
    for (const auto &it : ips) {
        startController(it, ips);
    }
    sendAll();
    EXPECT_TRUE(staysWithItsHolders());
    expectNoTrace(mark);
    EXPECT_EQ(request(nodeIp(12), "/x/1", 0)->status, 200);
}

// A manifest that names the service of the other writer makes it no backend server of this VM.
TEST_F(OtherWriterTest, AManifestThatBringsItsServiceGivesItNothing)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, true)), 200);
    ASSERT_TRUE(m_loop->runUntil([this] { return allHoldKeys(); }, kLimit));
    const auto mark = m_logger.entries().size();
    auto next = nlohmann::json::parse(manifest(4, 3, true));
    next["services"]["audit-agent"] = next["services"]["svc"];
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", next.dump()), 200);
    sendAll();
    restartGateway();
    sendAll();
    EXPECT_TRUE(staysWithItsHolders());
    expectNoTrace(mark);
}

// Guards against a gateway that takes nobody any more: a restart, a successor and a service that a manifest brings are used.
TEST_F(OtherWriterTest, RestartsSuccessorsAndNewServicesAreUsed)
{
    auto first = nlohmann::json::parse(manifest(3, 0, false));
    first["services"]["front"] = std::exchange(first["services"]["svc"], nullptr);
    first["services"].erase("svc");
    first["routes"]["r"]["service"] = "front";
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", first.dump()), 200);
    sendAll(false);
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(4, 3, false)), 200);
    ASSERT_TRUE(serves(nodeIp(11)));
    for (const auto &it : m_backends) {
        it->crash();
    }
    sendAll(false);
    const auto before = m_backends.front()->instance();
    const auto runs = m_backends.front()->requestsRun();
    m_backends.front()->start().value();
    EXPECT_NE(m_backends.front()->instance(), before);
    EXPECT_TRUE(serves(nodeIp(11)));
    EXPECT_TRUE(serves(nodeIp(12)));
    EXPECT_EQ(m_backends.front()->requestsRun(), runs + 2);
}

// Failure: the controllers took a later process of any service beside a gateway as proof that the holder of keys there had ended. A gateway
// of an earlier version still announces another writer's process so.
TEST_F(OtherWriterTest, ItsAnnouncementEndsNoHolderAtTheControllers)
{
    ASSERT_EQ(sendOperatorRequest("POST", "/toucandeck/config/put", manifest(3, 0, true)), 200);
    ASSERT_TRUE(m_loop->runUntil([this] { return allHoldKeys(); }, kLimit));
    const auto mark = m_logger.entries().size();
    PeerLinks links(
        *m_loop, m_logger, { nodeIp(13), kPeerPort }, [](const auto &, const auto &) {}, [](const auto &, bool, const auto &) {});
    wire::PeerMessage message;
    auto &announce = *message.mutable_announce();
    announce.set_sequence(1'000'000);
    announce.set_router(nodeIp(11));
    announce.set_failure_domain(nodeIp(11));
    announce.mutable_instance()->set_incarnation("w-0@4000000000000");
    announce.mutable_instance()->set_instance("w-0");
    announce.mutable_instance()->set_service("audit-agent");
    announce.mutable_instance()->set_state(wire::READY);
    announce.mutable_instance()->set_slots(4);
    announce.mutable_instance()->set_ended(lastSeen(nodeIp(11), "incarnation", 0));
    const auto isSeen = [&] { return lastSeen(nodeIp(11), "service", mark) == "audit-agent"; };
    const auto end = m_clock.now() + kLimit;
    while (!isSeen() && m_clock.now() < end) {
        for (int i = 1; i <= 3; ++i) {
            links.send(nodeIp(i), message); // Only a leader that a quorum has just confirmed accepts it.
        }
        m_loop->runUntil(isSeen, milliseconds(100));
    }
    ASSERT_TRUE(isSeen());
    EXPECT_TRUE(staysWithItsHolders());
    for (auto i = mark; i < m_logger.entries().size(); ++i) {
        EXPECT_NE(m_logger.entries()[i].number, FleetEvents::kHolderLost.number);
    }
    EXPECT_EQ(lastSeen(nodeIp(11), "service", mark), "svc");
}
