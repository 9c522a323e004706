#pragma once

#include "fleet.h"

#include "common/random_source.h"

namespace Toucandeck::Prove
{

/// Clients that send requests to the gateways at a steady rate and remember what they were told.
class Callers
{
public:
    Callers(EventLoop &loop, Fleet &fleet, RandomSource &random, double perSecond);

    /// Checks what the clients were told against what ran; adds to the violations of the audit.
    void check();

    std::uint64_t asked() const;
    std::uint64_t served() const;
    /// Of the requests sent since the latest call: the share that was served.
    double servedShare();
    std::map<int, std::uint64_t> answers() const;

private:
    struct Sent
    {
        std::string id;
        bool idempotent = false;
        int status = 0; ///< Zero without an answer.
        std::string body;
        std::unique_ptr<BackendConnection> connection;
    };

    void send();
    void onResult(const std::shared_ptr<Sent> &it, const BackendResult &result);

    EventLoop &m_loop;
    Fleet &m_fleet;
    RandomSource &m_random;
    std::vector<std::shared_ptr<Sent>> m_sent;
    std::size_t m_checkedFrom = 0;
    EventLoop::Watch m_timer;
};

} // namespace Toucandeck::Prove
