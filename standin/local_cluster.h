#pragma once

#include "child_process.h"
#include "execution_journal.h"
#include "layout.h"

#include "runtime/event_loop.h"
#include "runtime/http_client.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Toucandeck::Standin
{

struct LocalClusterOptions
{
    std::string binaryFolder; ///< Build folder with the programs.
    std::string workFolder; ///< Settings, data folders, logs and journals go here.
    std::uint32_t controllers = 3;
    bool traces = false; ///< Write a span file per process.
};

/// Traffic over the link of one process.
struct LinkTraffic
{
    std::uint64_t bytes = 0;
    std::uint64_t packets = 0;
};

/// Starts the processes of a layout on loopback: controllers, a router and a stand-in backend server per instance, and the network
/// link between them. The destructor ends every process by its id.
class LocalCluster
{
public:
    static Result<std::unique_ptr<LocalCluster>> create(EventLoop &loop, Logger &logger, Layout layout, LocalClusterOptions options);
    ~LocalCluster();

    /// Starts everything, gives the controllers their first membership, and writes the services' table rows. Returns when every
    /// instance is ready, or with Unavailable after @p limit.
    Result<void> start(Duration limit);
    /// Ends all processes with SIGTERM, then with SIGKILL those that still run.
    void stop();

    /// Names: "controller-1", "router-clue-svc-1", "clue-svc-1", "link".
    std::vector<std::string> controllerNames() const;
    std::vector<std::string> instanceNames() const;
    std::string failureDomainOf(const std::string &instance) const;
    std::string serviceOf(const std::string &instance) const;
    std::vector<std::string> routerAddresses() const;
    /// Address of a router by the name of its instance.
    std::string routerAddress(const std::string &instance) const;
    std::string backendAddress(const std::string &instance) const;
    std::string controllerAddress(const std::string &controller) const;
    /// Name of the controller that leads; empty if none reports it.
    std::string leader();

    ChildProcess *process(const std::string &name);
    /// Kills the process and waits for its end.
    void kill(const std::string &name);
    /// Starts a process that has ended, with the settings and data that it had.
    Result<void> restart(const std::string &name);
    /// Removes the data folder of a controller that has ended.
    void removeData(const std::string &controller);
    /// Cuts or restores all messages to a process ("router-..." or "controller-...").
    void setCut(const std::string &name, bool cut);
    void openAllLinks();
    /// Traffic over the links since the start, by receiving process.
    std::map<std::string, LinkTraffic> linkTraffic();

    /// Sends an operators' request to the leader, following redirects, until an answer or @p limit.
    Result<nlohmann::json> operate(const std::string &method, const std::string &target, const nlohmann::json &body, Duration limit);
    /// Sets columns of a row with the present revision; returns the new revision.
    Result<std::uint64_t> setRow(const std::string &row, const std::map<std::string, std::string> &columns, bool force, Duration limit);
    /// True when each router that holds a lease has applied @p version.
    bool isApplied(std::uint64_t version);

    /// All executions that the stand-ins have recorded.
    std::vector<Execution> executions() const;
    const Layout &layout() const;
    /// Sends all requests at once and returns their results in the same order.
    std::vector<HttpResult> callTogether(const std::vector<std::pair<std::string, HttpRequest>> &requests, Duration timeout);
    /// A request with the operators' token.
    HttpRequest operatorRequest(const std::string &method, const std::string &target, const std::string &body) const;
    /// One HTTP exchange, run to its end on the loop.
    HttpResult call(const std::string &target, HttpRequest request, Duration timeout);

private:
    struct Node;

    LocalCluster(EventLoop &loop, Logger &logger, Layout layout, LocalClusterOptions options);
    Result<void> prepare();
    void addControllers();
    void addInstances();
    Result<void> writeSettings(const Node &node);
    static std::string messageAddress(const Node &node);
    Result<void> launch(Node &node);
    Result<void> startLink();
    Result<void> bootstrap();
    Result<void> writeServiceRows();
    bool allReady();
    Node &nodeOf(const std::string &name);
    void controlLink(const std::string &query);

    EventLoop &m_loop;
    Layout m_layout;
    LocalClusterOptions m_options;
    HttpClient m_client;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::unique_ptr<ChildProcess> m_link;
    std::uint16_t m_linkControlPort = 0;
    std::uint64_t m_nextRequest = 1;
    std::string m_token = "local-operators-token";
};

} // namespace Toucandeck::Standin
