#pragma once

#include "fleet.h"

#include "common/random_source.h"

namespace Toucandeck::Prove
{

/// Clients that send requests to the gateways and record the responses: some at a steady rate, each request on a new connection, and one
/// for each gateway that keeps its connection as long as the gateway does.
class Callers
{
public:
    Callers(EventLoop &loop, Fleet &fleet, RandomSource &random, double perSecond);

    /// Checks the responses against the requests that ran; adds violations to the audit.
    void check();

    std::uint64_t sentCount() const;
    std::uint64_t servedCount() const;
    /// Requests on kept connections to gateways that were stopping.
    std::uint64_t sentToStoppingCount() const;
    /// Share of the requests sent since the previous call that were served.
    double takeServedShare();
    std::map<int, std::uint64_t> statusCounts() const;

private:
    struct SentRequest
    {
        std::string id;
        bool idempotent = false;
        int status = 0; ///< HTTP status; zero if there was no response.
        std::string body;
        TimePoint sentAt;
        Duration suspendedBefore; ///< Value of suspendedTime() at that time.
    };
    using SentRequestPtr = std::shared_ptr<SentRequest>;

    struct PersistentClient
    {
        int gateway;
        std::unique_ptr<BackendConnection> connection;
        EventLoop::Watch pause;
    };

    void sendOnNewConnection();
    void sendOnKeptConnection(PersistentClient &client);
    void onKeptConnectionResult(PersistentClient &client, const SentRequestPtr &it, const BackendResult &result);
    SentRequestPtr createRequest(HttpRequest &request);
    static void record(const SentRequestPtr &it, const BackendResult &result);
    /// A stopping gateway may close a connection while a request is on its way, but not later.
    void checkUnanswered(const PersistentClient &client, const SentRequest &it, BackendError error);
    void tick();
    /// Time in which this process did not process events when it should have, so that it saw responses late.
    Duration suspendedTime() const;

    EventLoop &m_loop;
    Fleet &m_fleet;
    RandomSource &m_random;
    std::vector<SentRequestPtr> m_sentRequests;
    std::size_t m_checkedFrom = 0;
    std::uint64_t m_sentToStopping = 0;
    std::vector<std::unique_ptr<PersistentClient>> m_persistentClients;
    TimePoint m_lastTick;
    Duration m_suspendedTime{};
    EventLoop::Watch m_tickTimer;
    EventLoop::Watch m_timer;
};

} // namespace Toucandeck::Prove
