#pragma once

#include "http/backend_connection.h"
#include "http/pipelined_server.h"
#include "platform/run_audit.h"

#include <nlohmann/json.hpp>
#include <set>

namespace Toucandeck::Standin
{

/// Settings of a stand-in backend server.
struct PlatformBackendOptions
{
    SocketAddress listen; ///< Where it accepts requests.
    SocketAddress announced; ///< Where its gateway reaches it; another address if a relay is in between.
    SocketAddress control; ///< Of its gateway, for heartbeats.
    std::string service;
    std::string failureDomain;
    std::chrono::milliseconds work{ 10 }; ///< A request takes this long.
    std::chrono::milliseconds heartbeat{ 400 };
    std::uint32_t slots = 9;
};

/// A backend server as the users' platform describes it: announces itself to the gateway beside it, holds the keys granted to it
/// until their lease expires, and refuses requests for others.
class PlatformBackend
{
public:
    PlatformBackend(EventLoop &loop, PlatformBackendOptions options, RunAudit &audit);
    ~PlatformBackend();

    /// Starts an incarnation. Errors: Io, if the address is in use.
    Result<void> start();
    /// Ends at once, without deregistering.
    void crash();
    /// Announces that it drains. Call leave() afterwards.
    void drain();
    /// Deregisters.
    void leave();

    bool isUp() const;
    bool holds(std::uint32_t key) const;
    std::size_t heldRows() const;
    const std::string &instance() const;
    std::uint64_t requestsRun() const;
    /// Calling service according to the latest request.
    const std::string &latestCaller() const;

    /// The other backend servers, for the check that no two hold one key.
    void setPeers(std::vector<const PlatformBackend *> peers);

private:
    struct Held
    {
        KeyRange range;
        std::uint64_t fence = 0;
    };

    void serve(const std::shared_ptr<HttpExchange> &exchange);
    void run(const std::shared_ptr<HttpExchange> &exchange, std::optional<std::uint32_t> key);
    void finish(const std::shared_ptr<HttpExchange> &exchange, std::optional<std::uint32_t> key);
    void beat();
    void post(const std::string &call, const std::string &body, std::function<void(const HttpResponse &)> done);
    void onAnswer(const HttpResponse &response, TimePoint sentAt);
    void take(const nlohmann::json &rows);
    void expire();
    bool isWorkedOn(KeyRange range) const;
    std::vector<std::string> otherHolders(std::uint32_t key) const;

    EventLoop &m_loop;
    PlatformBackendOptions m_options;
    RunAudit &m_audit;
    std::vector<const PlatformBackend *> m_peers;
    std::unique_ptr<PipelinedServer> m_server;
    std::unique_ptr<BackendConnection> m_connection;
    EventLoop::Watch m_timer;
    EventLoop::Watch m_releaseTimer;
    std::map<std::uint64_t, EventLoop::Watch> m_work; ///< Requests that run.
    std::uint64_t m_nextWork = 0;
    std::string m_instance;
    std::int64_t m_bornMs = 0;
    std::uint64_t m_sequence = 0;
    std::string m_state;
    std::vector<Held> m_held;
    std::vector<Held> m_leaving; ///< To be released once nothing runs on them.
    std::multiset<std::uint32_t> m_runningKeys;
    nlohmann::json m_freed = nlohmann::json::array();
    std::size_t m_freedSent = 0;
    TimePoint m_holdEnd;
    std::uint64_t m_requestsRun = 0;
    std::string m_latestCaller;
};

} // namespace Toucandeck::Standin
