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

/// Router role of the daemon: both sides of the request path, the session with the controllers and the announcements of the backend
/// server on the same VM.
class RouterRole : public Component, public AgentListener
{
public:
    explicit RouterRole(const RouterParts &parts);
    ~RouterRole() override;

    std::string name() const override;
    Result<void> start(FailureHandler onFailure) override;
    void stop(std::function<void()> done) override;
    void abort() override;

    /// Handles a message for routers; other messages are ignored.
    void receive(const wire::Envelope &envelope);
    /// Handles announcements and, under any other path, callers' requests.
    void handleHttp(const std::shared_ptr<HttpExchange> &exchange);

    /// First part of a graceful shutdown: releases all partitions and hot keys, waits for the requests in flight at the backend server,
    /// then calls @p done. Callers' requests are still accepted and forwarded.
    void leave(std::function<void()> done);
    /// Answers all pending requests of callers, because the process ends.
    void answerPending();

    /// True if this router has a lease and a view and is not leaving.
    bool isReady();
    /// Call after the limits in the settings have changed.
    void onLimitsChanged();

    void onLeaseLost() override;
    void beginRelease(const OwnedItems &items, SessionId receiver) override;
    void cancelRelease(const OwnedItems &items) override;

private:
    struct Core;

    void tick();
    void handleAnnouncement(const std::shared_ptr<HttpExchange> &exchange);
    void handleWithdrawal(const std::shared_ptr<HttpExchange> &exchange);
    void withdraw(const std::shared_ptr<HttpExchange> &exchange);
    void refuseAnnouncement(HttpExchange &exchange, const Error &error);
    bool isFromLocalBackend(const HttpExchange &exchange) const;
    wire::RouterSession sessionDescription() const;
    void onBackendChanged();
    void onBackendLost(const char *reason);
    bool isDrained() const;
    void answerWithdrawals();
    void updateGauges();

    RouterParts m_parts;
    std::unique_ptr<Core> m_core;
    std::function<void()> m_onLeaveDone;
    std::vector<std::shared_ptr<HttpExchange>> m_pendingWithdrawals; ///< Answered when the backend server is drained.
    EventLoop::Watch m_tickTimer;
    TimePoint m_lastLoadTime;
    prometheus::Gauge &m_inFlightGauge;
    prometheus::Gauge &m_queuedGauge;
    prometheus::Gauge &m_partitionsGauge;
    prometheus::Gauge &m_viewVersionGauge;
    prometheus::Gauge &m_hasLeaseGauge;
    prometheus::Counter &m_lostLeaseCounter;
};

} // namespace Toucandeck
