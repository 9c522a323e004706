#pragma once

#include "backend_model.h"
#include "execution_journal.h"

#include "common/clock.h"
#include "common/random_source.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

#include <memory>
#include <set>
#include <string>

namespace Toucandeck::Standin
{

/// Settings of a stand-in backend server process.
struct BackendServerOptions
{
    std::string service;
    std::string instance;
    std::uint16_t port = 0; ///< HTTP port on 127.0.0.1; 0 takes a free one.
    std::string router; ///< HTTP address of the router beside it, "IP:PORT".
    std::uint32_t connections = 130;
    std::string calls; ///< Service that it calls while it serves a request that asks for it.
    std::string journal; ///< File for the execution journal; empty: none.
    Duration reportLag{}; ///< Age of the figures in its load reports.
    bool misleadingReports = false; ///< Reports the opposite of its load.
    BackendOptions model;
};

/// Stand-in for a backend server, over HTTP: slots, cold start, shedding, grants, cancellation, deadlines, look-ups in another
/// service through the router beside it, load reports, and a journal of what it executed.
///
/// Besides work it answers GET /standin/status, GET /standin/load and POST /standin/control (JSON: cold, slow_factor).
class BackendServer
{
public:
    static Result<std::unique_ptr<BackendServer>>
    create(EventLoop &loop, BackendServerOptions options, RandomSource &random, Logger &logger);
    ~BackendServer();

    std::string address() const;
    /// Notifies the router that this server leaves, completes the running requests, then calls @p done.
    void stop(std::function<void()> done);

private:
    struct Work;

    BackendServer(EventLoop &loop, BackendServerOptions options, RandomSource &random, Logger &logger);
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void startWork(const std::shared_ptr<HttpExchange> &exchange);
    void workTimeOver(const std::shared_ptr<Work> &work);
    void callOtherService(const std::shared_ptr<Work> &work);
    void finishWork(const std::shared_ptr<Work> &work, int status, const std::string &nested);
    void control(HttpExchange &exchange);
    std::string status() const;
    std::string load();
    void announce();
    HttpRequest announcement(const std::string &method) const;

    EventLoop &m_loop;
    BackendServerOptions m_options;
    Logger &m_logger;
    BackendModel m_model;
    HttpClient m_client;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<ExecutionJournal> m_journal;
    std::set<std::shared_ptr<Work>> m_work;
    EventLoop::Watch m_announceTimer;
    bool m_stopping = false;
    std::uint32_t m_reportedLoad = 0;
    TimePoint m_reportedAt{};
};

} // namespace Toucandeck::Standin
