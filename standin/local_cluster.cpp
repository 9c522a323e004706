#include "local_cluster.h"

#include "free_ports.h"

#include "common/assert.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>

namespace Toucandeck::Standin
{

namespace
{

using nlohmann::json;

constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
constexpr Duration kPollInterval = std::chrono::milliseconds(50);
constexpr Duration kGracefulEnd = std::chrono::seconds(10);

enum class NodeKind {
    Controller,
    Router,
    Backend
};

std::string loopback(std::uint16_t port)
{
    return fmt::format("127.0.0.1:{}", port);
}

} // namespace

/// One process.
struct LocalCluster::Node
{
    NodeKind kind = NodeKind::Router;
    std::string name;
    std::string failureDomain;
    const LayoutService *service = nullptr; ///< Of routers and backend servers.
    std::string ip; ///< Stands for the VM in message addresses; a router and a backend server beside it share one.
    std::uint16_t messagePort = 0; ///< Where the process listens.
    std::uint16_t linkPort = 0; ///< Where others reach it, through the link.
    std::uint16_t httpPort = 0;
    std::string instance;
    std::unique_ptr<ChildProcess> process;
};

Result<std::unique_ptr<LocalCluster>> LocalCluster::create(EventLoop &loop, Logger &logger, Layout layout, LocalClusterOptions options)
{
    auto cluster = std::unique_ptr<LocalCluster>(new LocalCluster(loop, logger, std::move(layout), std::move(options)));
    BOOST_LEAF_CHECK(cluster->prepare());
    return cluster;
}

LocalCluster::LocalCluster(EventLoop &loop, Logger &logger, Layout layout, LocalClusterOptions options)
    : m_loop(loop)
    , m_layout(std::move(layout))
    , m_options(std::move(options))
    , m_client(loop, {}, logger)
{
}

LocalCluster::~LocalCluster() = default;

Result<void> LocalCluster::prepare()
{
    std::filesystem::create_directories(m_options.workFolder);
    addControllers();
    addInstances();
    const auto ports = freePorts(m_nodes.size() * 3 + 1);
    if (ports.size() < m_nodes.size() * 3 + 1) {
        return fail(ErrorCode::Unavailable, "not enough free ports on 127.0.0.1");
    }
    std::size_t n = 0;
    for (auto &it : m_nodes) {
        constexpr std::size_t kPerNetwork = 250;
        it->ip = fmt::format("127.1.{}.{}", n / kPerNetwork, n % kPerNetwork + 1);
        it->messagePort = ports[n++];
        it->linkPort = ports[n++];
        it->httpPort = ports[n++];
    }
    m_linkControlPort = ports[n];
    std::ofstream(m_options.workFolder + "/token") << m_token << '\n';
    for (auto &it : m_nodes) {
        BOOST_LEAF_CHECK(writeSettings(*it));
    }
    return {};
}

void LocalCluster::addControllers()
{
    for (std::uint32_t n = 0; n < m_options.controllers; ++n) {
        auto node = std::make_unique<Node>();
        node->kind = NodeKind::Controller;
        node->name = fmt::format("controller-{}", n + 1);
        node->failureDomain = m_layout.failureDomains[n % m_layout.failureDomains.size()];
        m_nodes.push_back(std::move(node));
    }
}

void LocalCluster::addInstances()
{
    std::size_t placed = 0;
    for (const auto &service : m_layout.services) {
        for (std::uint32_t n = 0; n < service.instances; ++n, ++placed) {
            const auto instance = fmt::format("{}-{}", service.name, n + 1);
            for (const auto kind : { NodeKind::Router, NodeKind::Backend }) {
                auto node = std::make_unique<Node>();
                node->kind = kind;
                node->name = kind == NodeKind::Router ? "router-" + instance : instance;
                node->failureDomain = m_layout.failureDomains[placed % m_layout.failureDomains.size()];
                node->service = &service;
                node->instance = instance;
                m_nodes.push_back(std::move(node));
            }
        }
    }
}

std::string LocalCluster::messageAddress(const Node &node)
{
    return fmt::format("tcp://{}:{}", node.ip, node.linkPort);
}

Result<void> LocalCluster::writeSettings(const Node &node)
{
    if (node.kind == NodeKind::Backend) {
        return {};
    }
    json controllers = json::array();
    for (const auto &it : m_nodes) {
        if (it->kind == NodeKind::Controller) {
            controllers.push_back({ { "message_address", messageAddress(*it) }, { "http_address", loopback(it->httpPort) } });
        }
    }
    json settings = {
        { "process", node.name },
        { "failure_domain", node.failureDomain },
        { "roles", json::array({ node.kind == NodeKind::Controller ? "controller" : "router" }) },
        { "message_address", messageAddress(node) },
        { "message_bind", "tcp://" + loopback(node.messagePort) },
        { "http_address", loopback(node.httpPort) },
        { "controllers", controllers },
        { "token_file", m_options.workFolder + "/token" },
    };
    if (node.kind == NodeKind::Controller) {
        settings["data_dir"] = m_options.workFolder + "/data-" + node.name;
    }
    if (m_options.traces) {
        settings["trace_file"] = m_options.workFolder + "/trace-" + node.name + ".jsonl";
    }
    std::ofstream out(m_options.workFolder + "/" + node.name + ".json");
    out << settings.dump(2) << '\n';
    out.flush();
    if (!out) {
        return fail(ErrorCode::Io, fmt::format("cannot write settings into '{}'", m_options.workFolder));
    }
    return {};
}

Result<void> LocalCluster::launch(Node &node)
{
    std::vector<std::string> arguments;
    if (node.kind == NodeKind::Backend) {
        const auto &service = *node.service;
        arguments = { m_options.binaryFolder + "/standin/toucandeck-backend",
                      "--service=" + service.name,
                      "--instance=" + node.instance,
                      fmt::format("--port={}", node.httpPort),
                      "--router=" + routerAddress(node.instance),
                      fmt::format("--slots={}", service.slots),
                      fmt::format("--connections={}", service.connections),
                      fmt::format("--service-ms={}", service.serviceTime.count()),
                      fmt::format("--seed={}", node.httpPort),
                      "--journal=" + m_options.workFolder + "/journal-" + node.name };
        if (!service.calls.empty()) {
            arguments.push_back("--calls=" + service.calls);
        }
        if (!service.fenced) {
            arguments.emplace_back("--unfenced");
        }
    } else {
        arguments = { m_options.binaryFolder + "/src/daemon/toucandeckd", "--config", m_options.workFolder + "/" + node.name + ".json" };
    }
    BOOST_LEAF_ASSIGN(node.process, ChildProcess::start(arguments, m_options.workFolder + "/" + node.name + ".log"));
    return {};
}

Result<void> LocalCluster::startLink()
{
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(m_layout.oneWayDelay).count();
    std::vector<std::string> arguments = { m_options.binaryFolder + "/standin/toucandeck-link",
                                           fmt::format("--control-port={}", m_linkControlPort),
                                           fmt::format("--delay-ms={}", delay) };
    for (const auto &it : m_nodes) {
        if (it->kind != NodeKind::Backend) {
            arguments.push_back(fmt::format("--link={}:{}:{}", it->ip, it->linkPort, it->messagePort));
        }
    }
    BOOST_LEAF_ASSIGN(m_link, ChildProcess::start(arguments, m_options.workFolder + "/link.log"));
    return {};
}

Result<void> LocalCluster::start(Duration limit)
{
    BOOST_LEAF_CHECK(startLink());
    for (auto &it : m_nodes) {
        if (it->kind == NodeKind::Controller) {
            BOOST_LEAF_CHECK(launch(*it));
        }
    }
    BOOST_LEAF_CHECK(bootstrap());
    BOOST_LEAF_CHECK(writeServiceRows());
    for (auto &it : m_nodes) {
        if (it->kind != NodeKind::Controller) {
            BOOST_LEAF_CHECK(launch(*it));
        }
    }
    const auto end = m_loop.clock().now() + limit;
    while (!allReady()) {
        if (m_loop.clock().now() > end) {
            return fail(ErrorCode::Unavailable,
                        fmt::format("the processes were not ready in time; their logs are in '{}'", m_options.workFolder));
        }
        m_loop.runUntil([] { return false; }, kPollInterval);
    }
    return {};
}

Result<void> LocalCluster::bootstrap()
{
    json members = json::array();
    for (const auto &it : m_nodes) {
        if (it->kind != NodeKind::Controller) {
            continue;
        }
        std::string replica;
        for (int tries = 0; tries < 100 && replica.empty(); ++tries) {
            const auto result = call(loopback(it->httpPort), operatorRequest("GET", "/v1/identity", ""), kCallTimeout);
            const auto answer = json::parse(result.response ? result.response->body : "", nullptr, false);
            replica = answer.is_object() ? answer.value("replica", "") : "";
            if (replica.empty()) {
                m_loop.runUntil([] { return false; }, kPollInterval);
            }
        }
        members.push_back({ { "replica", replica },
                            { "failure_domain", it->failureDomain },
                            { "address", messageAddress(*it) },
                            { "http_address", loopback(it->httpPort) } });
    }
    for (const auto &it : m_nodes) {
        if (it->kind == NodeKind::Controller) {
            const auto body = json{ { "members", members } }.dump();
            const auto result = call(loopback(it->httpPort), operatorRequest("POST", "/v1/bootstrap", body), kCallTimeout);
            if (!result.response || result.response->status != 200) {
                return fail(ErrorCode::Unavailable,
                            fmt::format("bootstrap of {} failed: {}", it->name, result.response ? result.response->body : result.error));
            }
        }
    }
    return {};
}

Result<void> LocalCluster::writeServiceRows()
{
    for (const auto &it : m_layout.services) {
        const std::map<std::string, std::string> columns = { { "key", it.key },
                                                             { "fenced", it.fenced ? "yes" : "no" },
                                                             { "slots", std::to_string(it.slots) },
                                                             { "connections", std::to_string(it.connections) } };
        BOOST_LEAF_CHECK(setRow(it.name + "/*/*", columns, false, std::chrono::seconds(10)));
    }
    return {};
}

bool LocalCluster::allReady()
{
    for (const auto &it : m_nodes) {
        if (it->kind != NodeKind::Router) {
            continue;
        }
        HttpRequest request;
        request.target = "/readyz";
        const auto result = call(loopback(it->httpPort), request, kCallTimeout);
        if (!result.response || result.response->status != 200) {
            return false;
        }
    }
    const auto answer = handleError([&] { return operate("GET", "/v1/owners", {}, kCallTimeout); }, [](const Error &) { return json(); });
    if (!answer.is_object()) {
        return false;
    }
    const auto hasOwner = [](const json &it) { return !it.value("instance", "").empty(); };
    return std::all_of(answer["partitions"].begin(), answer["partitions"].end(), hasOwner);
}

void LocalCluster::stop()
{
    for (const auto kind : { NodeKind::Backend, NodeKind::Router, NodeKind::Controller }) {
        for (auto &it : m_nodes) {
            if (it->kind == kind && it->process) {
                it->process->signal(SIGCONT);
                it->process->signal(SIGTERM);
            }
        }
        for (auto &it : m_nodes) {
            if (it->kind == kind && it->process) {
                it->process->waitForEnd(kGracefulEnd);
                it->process.reset();
            }
        }
    }
    m_link.reset();
}

std::vector<std::string> LocalCluster::controllerNames() const
{
    std::vector<std::string> names;
    for (const auto &it : m_nodes) {
        if (it->kind == NodeKind::Controller) {
            names.push_back(it->name);
        }
    }
    return names;
}

std::vector<std::string> LocalCluster::instanceNames() const
{
    std::vector<std::string> names;
    for (const auto &it : m_nodes) {
        if (it->kind == NodeKind::Backend) {
            names.push_back(it->name);
        }
    }
    return names;
}

std::string LocalCluster::failureDomainOf(const std::string &instance) const
{
    return const_cast<LocalCluster *>(this)->nodeOf(instance).failureDomain;
}

std::string LocalCluster::serviceOf(const std::string &instance) const
{
    return const_cast<LocalCluster *>(this)->nodeOf(instance).service->name;
}

std::vector<std::string> LocalCluster::routerAddresses() const
{
    std::vector<std::string> all;
    for (const auto &it : m_nodes) {
        if (it->kind == NodeKind::Router) {
            all.push_back(loopback(it->httpPort));
        }
    }
    return all;
}

std::string LocalCluster::routerAddress(const std::string &instance) const
{
    return loopback(const_cast<LocalCluster *>(this)->nodeOf("router-" + instance).httpPort);
}

std::string LocalCluster::backendAddress(const std::string &instance) const
{
    return loopback(const_cast<LocalCluster *>(this)->nodeOf(instance).httpPort);
}

std::string LocalCluster::controllerAddress(const std::string &controller) const
{
    return loopback(const_cast<LocalCluster *>(this)->nodeOf(controller).httpPort);
}

std::string LocalCluster::leader()
{
    for (const auto &name : controllerNames()) {
        const auto result = call(controllerAddress(name), operatorRequest("GET", "/v1/controllers", ""), kCallTimeout);
        if (result.response && result.response->status == 200) {
            return name;
        }
    }
    return {};
}

ChildProcess *LocalCluster::process(const std::string &name)
{
    return nodeOf(name).process.get();
}

void LocalCluster::kill(const std::string &name)
{
    auto &node = nodeOf(name);
    if (node.process) {
        node.process->signal(SIGKILL);
        node.process->waitForEnd(kGracefulEnd);
        node.process.reset();
    }
}

Result<void> LocalCluster::restart(const std::string &name)
{
    return launch(nodeOf(name));
}

void LocalCluster::removeData(const std::string &controller)
{
    std::filesystem::remove_all(m_options.workFolder + "/data-" + controller);
}

void LocalCluster::setCut(const std::string &name, bool cut)
{
    controlLink(fmt::format("port={}&state={}", nodeOf(name).linkPort, cut ? "cut" : "open"));
}

void LocalCluster::openAllLinks()
{
    controlLink("state=open");
}

std::map<std::string, LinkTraffic> LocalCluster::linkTraffic()
{
    std::map<std::string, LinkTraffic> traffic;
    HttpRequest request;
    const auto result = call(loopback(m_linkControlPort), request, kCallTimeout);
    std::istringstream lines(result.response ? result.response->body : "");
    std::uint32_t port = 0;
    LinkTraffic counted;
    while (lines >> port >> counted.bytes >> counted.packets) {
        for (const auto &it : m_nodes) {
            if (it->linkPort == port) {
                traffic[it->name] = counted;
            }
        }
    }
    return traffic;
}

Result<json> LocalCluster::operate(const std::string &method, const std::string &target, const json &body, Duration limit)
{
    const auto end = m_loop.clock().now() + limit;
    const auto text = body.is_null() ? std::string() : body.dump();
    std::string lastError = "no controller answered";
    do {
        for (const auto &it : m_nodes) {
            if (it->kind != NodeKind::Controller || !it->process) {
                continue;
            }
            const auto result = call(loopback(it->httpPort), operatorRequest(method, target, text), kCallTimeout);
            if (!result.response || result.response->status == 421 || result.response->status == 503) {
                lastError = result.response ? result.response->body : result.error;
                continue;
            }
            if (result.response->status != 200) {
                return fail(ErrorCode::Refused, result.response->body);
            }
            return json::parse(result.response->body, nullptr, false);
        }
        m_loop.runUntil([] { return false; }, kPollInterval);
    } while (m_loop.clock().now() < end);
    return fail(ErrorCode::Unavailable, lastError);
}

Result<std::uint64_t>
LocalCluster::setRow(const std::string &row, const std::map<std::string, std::string> &columns, bool force, Duration limit)
{
    BOOST_LEAF_AUTO(table, operate("GET", "/v1/table", {}, limit));
    std::uint64_t seen = 0;
    for (const auto &it : table["rows"]) {
        if (it["row"] == row) {
            seen = it["revision"].get<std::uint64_t>();
        }
    }
    const json edit = { { "row", row }, { "set", columns }, { "seen_revision", seen } };
    const json body = { { "request_id", fmt::format("local-{}-{}", m_linkControlPort, m_nextRequest++) },
                        { "force", force },
                        { "edits", json::array({ edit }) } };
    BOOST_LEAF_AUTO(answer, operate("POST", "/v1/table/edit", body, limit));
    return answer["revision"].get<std::uint64_t>();
}

bool LocalCluster::isApplied(std::uint64_t version)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(answer, operate("GET", fmt::format("/v1/applied?version={}", version), {}, kCallTimeout));
            return answer.value("applied", false);
        },
        [](const Error &) { return false; });
}

std::vector<Execution> LocalCluster::executions() const
{
    std::vector<Execution> all;
    for (const auto &it : m_nodes) {
        if (it->kind != NodeKind::Backend) {
            continue;
        }
        const auto path = m_options.workFolder + "/journal-" + it->name;
        const auto some = handleError([&] { return ExecutionJournal::read(path); }, [](const Error &) { return std::vector<Execution>(); });
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

const Layout &LocalCluster::layout() const
{
    return m_layout;
}

std::vector<HttpResult> LocalCluster::callTogether(const std::vector<std::pair<std::string, HttpRequest>> &requests, Duration timeout)
{
    // Shared with the handlers, which may run after this function has timed out.
    auto results = std::make_shared<std::vector<HttpResult>>(requests.size());
    auto open = std::make_shared<std::size_t>(requests.size());
    for (std::size_t n = 0; n < requests.size(); ++n) {
        m_client.send(requests[n].first, requests[n].second, timeout, [results, open, n](HttpResult it) {
            (*results)[n] = std::move(it);
            --*open;
        });
    }
    m_loop.runUntil([open] { return *open == 0; }, timeout + std::chrono::seconds(5));
    return *results;
}

HttpResult LocalCluster::call(const std::string &target, HttpRequest request, Duration timeout)
{
    return callTogether({ { target, std::move(request) } }, timeout).front();
}

LocalCluster::Node &LocalCluster::nodeOf(const std::string &name)
{
    const auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&name](const auto &node) { return node->name == name; });
    TOUCANDECK_ASSERT(it != m_nodes.end(), "the name is one of this layout's processes");
    return **it;
}

HttpRequest LocalCluster::operatorRequest(const std::string &method, const std::string &target, const std::string &body) const
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    setHeader(request.headers, "Authorization", "Bearer " + m_token);
    return request;
}

void LocalCluster::controlLink(const std::string &query)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/?" + query;
    call(loopback(m_linkControlPort), request, kCallTimeout);
}

} // namespace Toucandeck::Standin
