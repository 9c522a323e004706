#pragma once

#include "fleet.h"

#include "common/random_source.h"

namespace Toucandeck::Prove
{

/// Clients that send requests to the gateways at a steady rate and record the responses.
class Callers
{
public:
    Callers(EventLoop &loop, Fleet &fleet, RandomSource &random, double perSecond);

    /// Checks the responses against the requests that ran; adds violations to the audit.
    void check();

    std::uint64_t sentCount() const;
    std::uint64_t servedCount() const;
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
        std::unique_ptr<BackendConnection> connection;
    };

    void send();
    void onResult(const std::shared_ptr<SentRequest> &it, const BackendResult &result);

    EventLoop &m_loop;
    Fleet &m_fleet;
    RandomSource &m_random;
    std::vector<std::shared_ptr<SentRequest>> m_sentRequests;
    std::size_t m_checkedFrom = 0;
    EventLoop::Watch m_timer;
};

} // namespace Toucandeck::Prove
