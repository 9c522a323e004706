#include "node/node.h"

#include "node/events.h"

#include <csignal>
#include <fstream>
#include <malloc.h>
#include <sstream>
#include <unistd.h>

namespace Toucandeck
{

namespace
{

/// Part of the memory for clients; the rest is for the process itself, responses of the backend server and messages between nodes.
constexpr std::size_t kClientMemoryDivisor = 2;
constexpr std::chrono::seconds kSettingsCheckInterval{ 1 };
/// Subtracted from the shutdown limit of the gateway, because the process must have terminated when the limit expires.
constexpr std::chrono::milliseconds kShutdownReserve{ 400 };

/// Makes the allocator return the memory of large buffers to the system when they are freed. By default, glibc raises the threshold for
/// this with each such buffer, so that later ones stay in the heap.
void returnLargeBuffers()
{
    constexpr int kLargeBytes = 128 << 10;
    ::mallopt(M_MMAP_THRESHOLD, kLargeBytes);
    ::mallopt(M_TRIM_THRESHOLD, kLargeBytes);
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

} // namespace

Result<std::unique_ptr<Node>> Node::create(NodeSettings settings, std::string settingsFile, const NodeInterface &interface)
{
    std::unique_ptr<Node> node(new Node(std::move(settings), std::move(settingsFile), interface));
    BOOST_LEAF_CHECK(node->start());
    return node;
}

Node::Node(NodeSettings settings, std::string settingsFile, const NodeInterface &interface)
    : m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsFile))
    , m_interface(interface)
    , m_logger(m_clock, STDOUT_FILENO, m_settings.process, m_settings.logLevel)
    , m_random(std::make_unique<SeededRandom>(systemSeed()))
    , m_settingsText(readFile(m_settingsFile))
{
}

Node::~Node() = default;

Result<void> Node::start()
{
    BOOST_LEAF_ASSIGN(m_loop, EventLoop::create(m_clock));
    m_watches.push_back(m_loop->onSignal(SIGTERM, [this] { stop(); }));
    m_watches.push_back(m_loop->onSignal(SIGINT, [this] { stop(); }));
    m_watches.push_back(m_loop->onSignal(SIGHUP, [this] { reload("signal"); }));
    m_watches.push_back(m_loop->every(kSettingsCheckInterval, [this] { checkSettingsFile(); }));
    m_watches.push_back(m_loop->atIterationEnd([this] { m_logger.flush(); }));
    if (m_settings.memoryLimit != 0) {
        returnLargeBuffers();
        m_requestMemory = RequestMemory::create(m_settings.memoryLimit / kClientMemoryDivisor);
    }
    if (m_settings.role == NodeRole::Gateway) {
        BOOST_LEAF_CHECK(startGateway());
    } else {
        BOOST_LEAF_CHECK(startController());
    }
    BOOST_LEAF_CHECK(startMetrics());
    m_logger.write(NodeEvents::kStarted,
                   { field("role", m_settings.role == NodeRole::Gateway ? "gateway" : "controller"),
                     field("ip", m_settings.ip),
                     field("failure_domain", m_settings.failureDomain),
                     field("service", m_settings.service),
                     field("seeds", m_settings.seeds.size()),
                     field("first_start", m_settings.firstStart) });
    return {};
}

Result<std::unique_ptr<PipelinedServer>> Node::serve(const SocketAddress &address, PipelinedServer::Handler handler)
{
    return PipelinedServer::create(
        *m_loop,
        address,
        [] {
            return HttpLimits{ 64U << 10U, 64U << 20U };
        },
        std::move(handler),
        m_requestMemory);
}

Result<void> Node::startGateway()
{
    GatewayOptions options;
    options.ip = m_settings.ip;
    options.failureDomain = m_settings.failureDomain;
    options.service = m_settings.service;
    options.backend = m_settings.backend;
    options.outbound = m_settings.outbound;
    options.peerPort = m_settings.peerPort;
    options.seeds = m_settings.seedIps();
    options.retryShare = m_settings.retryShare;
    options.requestMemory = m_requestMemory;
    options.balancing = m_settings.balancing;
    options.nestedCalls = m_settings.nestedCalls;
    options.admission = m_settings.admission;
    options.heartbeatInterval = m_settings.heartbeatInterval;
    options.shutdownLimit = m_settings.shutdownLimit - kShutdownReserve;
    const GatewayParts parts{
        *m_loop, *m_random, m_logger, m_metrics, m_interface.headers(), m_interface.manifestCodec(), m_interface.grantCodec()
    };
    BOOST_LEAF_ASSIGN(m_gateway, Gateway::create(parts, std::move(options)));
    BOOST_LEAF_AUTO(ready, serve(m_settings.ready, [this](const auto &it) { m_interface.handleReady(*m_gateway, it); }));
    BOOST_LEAF_AUTO(control, serve(m_settings.control, [this](const auto &it) { m_interface.handleInstance(*m_gateway, it); }));
    m_servers.push_back(std::move(ready));
    m_servers.push_back(std::move(control));
    return {};
}

Result<void> Node::startController()
{
    ControllerOptions options;
    options.group.dataFolder = m_settings.dataFolder;
    options.group.failureDomain = m_settings.failureDomain;
    options.group.ip = m_settings.ip;
    options.group.operatorAddress = m_settings.control.toString();
    options.group.seeds = m_settings.seedIps();
    options.group.firstStart = m_settings.firstStart;
    options.group.toleratedLosses = m_settings.toleratedLosses;
    options.leases.leaseDuration = std::min<Duration>(options.leases.leaseDuration, m_settings.longestHold);
    options.maxConfirmationDelay = m_settings.confirmationDelay;
    options.peerPort = m_settings.peerPort;
    BOOST_LEAF_ASSIGN(m_controller, Controller::create({ *m_loop, *m_random, m_logger, m_interface.manifestCodec() }, std::move(options)));
    m_controller->group().setFailureHandler([this](const Error &) {
        m_exitCode = 1;
        m_loop->stop();
    });
    BOOST_LEAF_AUTO(control, serve(m_settings.control, [this](const auto &it) { m_interface.handleOperator(*m_controller, it); }));
    m_servers.push_back(std::move(control));
    return {};
}

Result<void> Node::startMetrics()
{
    if (m_settings.metricsPort == 0) {
        return {};
    }
    BOOST_LEAF_AUTO(server, serve({ m_settings.ip, m_settings.metricsPort }, [this](const auto &it) { handleMetrics(it); }));
    m_servers.push_back(std::move(server));
    return {};
}

void Node::handleMetrics(const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_gateway) {
        m_gateway->updateMetrics();
    }
    if (m_requestMemory) {
        m_metrics.gauge("toucandeck_client_memory_bytes", "Memory in the account of clients")
            .Set(static_cast<double>(m_requestMemory->bytes()));
        m_metrics.gauge("toucandeck_client_memory_refusals", "Requests refused and connections closed for lack of memory")
            .Set(static_cast<double>(m_requestMemory->refusals()));
    }
    if (m_controller) {
        const auto &group = m_controller->group();
        m_metrics.gauge("toucandeck_leads", "1 while this controller leads").Set(group.isLeaderReady() ? 1 : 0);
        m_metrics.gauge("toucandeck_term", "Election term").Set(static_cast<double>(group.term().value));
        m_metrics.gauge("toucandeck_manifest_version", "Version of the manifest in force")
            .Set(static_cast<double>(group.state().manifest().version()));
        m_metrics.gauge("toucandeck_voters", "Controllers that count for the quorum").Set(static_cast<double>(group.voterCount()));
        m_metrics.gauge("toucandeck_routers", "Gateways that report").Set(static_cast<double>(m_controller->fleet().routerCount()));
    }
    m_metrics.gauge("toucandeck_log_lines_dropped", "Log lines that standard output did not take")
        .Set(static_cast<double>(m_logger.droppedLines()));
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    response.body = m_metrics.text();
    exchange->respond(std::move(response));
}

void Node::checkSettingsFile()
{
    if (readFile(m_settingsFile) != m_settingsText) {
        reload("the file has changed");
    }
}

void Node::reload(const char *cause)
{
    m_settingsText = readFile(m_settingsFile);
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(settings, NodeSettings::parse(m_settingsText));
            m_settings.seeds = settings.seeds;
            m_logger.setLowestLevel(settings.logLevel);
            if (m_gateway) {
                m_gateway->setSeeds(settings.seedIps());
            }
            if (m_controller) {
                m_controller->group().setSeeds(settings.seedIps());
            }
            m_logger.write(NodeEvents::kReloaded, { field("cause", cause), field("seeds", settings.seeds.size()) });
            return {};
        },
        [&](const Error &error) {
            m_logger.write(NodeEvents::kReloadFailed, { field("cause", cause), field("error", error.message) });
        });
}

void Node::stop()
{
    if (std::exchange(m_stopping, true)) {
        return;
    }
    m_logger.write(NodeEvents::kStopping, { field("role", m_gateway ? "gateway" : "controller") });
    if (m_gateway) {
        m_gateway->drain([this] { m_loop->stop(); });
    } else {
        m_loop->stop();
    }
}

int Node::run()
{
    m_loop->run();
    const auto unfinished = m_gateway ? m_gateway->unfinishedRequests() : 0;
    m_logger.write(NodeEvents::kStopped, { field("exit_code", m_exitCode), field("requests", unfinished) });
    m_logger.flush();
    return m_exitCode;
}

} // namespace Toucandeck
