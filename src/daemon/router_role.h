#pragma once

#include "daemon/backend_presence.h"
#include "daemon/controller_links.h"
#include "daemon/record_transfer.h"
#include "daemon/request_executor.h"
#include "daemon/request_router.h"
#include "daemon/router_parts.h"
#include "runtime/http_server.h"
#include "runtime/supervisor.h"

#include <memory>
#include <vector>

namespace Toucandeck
{

/// Router role of the daemon: the request path on both sides, the session with the controllers and the backend server beside it.
class RouterRole : public Component, public AgentListener
{
public:
    explicit RouterRole(const RouterParts &parts);
    ~RouterRole() override;

    std::string name() const override;
    Result<void> start(FailureHandler onFailure) override;
    void stop(std::function<void()> done) override;
    void abort() override;

    /// A message for routers; others are ignored.
    void receive(const wire::Envelope &envelope);
    /// Takes announcements and, under any other path, callers' requests.
    void handleHttp(const std::shared_ptr<HttpExchange> &exchange);

    /// First part of a graceful shutdown: hands everything back and finishes what is in flight at the backend server, then calls
    /// @p done. Callers' requests are still accepted and forwarded.
    void leave(std::function<void()> done);

    /// Has a lease and a view, and is not leaving.
    bool isReady();
    /// Limits were read again.
    void limitsChanged();

    void onLeaseLost() override;
    void beginRelease(const OwnedItems &items, SessionId receiver) override;
    void cancelRelease(const OwnedItems &items) override;

private:
    struct Core;

    void tick();
    void announce(const std::shared_ptr<HttpExchange> &exchange);
    void withdraw(const std::shared_ptr<HttpExchange> &exchange);
    bool isBeside(const HttpExchange &exchange) const;
    wire::RouterSession description() const;
    void backendChanged();
    void backendLost(const char *reason);
    bool isDrained() const;
    void answerWithdrawals();
    void updateGauges();

    RouterParts m_parts;
    std::unique_ptr<Core> m_core;
    std::function<void()> m_leaveDone;
    std::vector<std::shared_ptr<HttpExchange>> m_withdrawals; ///< Answered when the backend server has nothing left.
    EventLoop::Watch m_tickTimer;
    TimePoint m_lastLoad;
    prometheus::Gauge &m_inFlight;
    prometheus::Gauge &m_queued;
    prometheus::Gauge &m_partitions;
    prometheus::Gauge &m_viewVersion;
    prometheus::Gauge &m_hasLease;
    prometheus::Counter &m_leasesLost;
};

} // namespace Toucandeck
