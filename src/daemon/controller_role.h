#pragma once

#include "daemon/event_ring.h"
#include "daemon/operator_api.h"
#include "daemon/replica_driver.h"
#include "ownership/bounded_load.h"
#include "ownership/coordinator.h"
#include "runtime/metrics.h"
#include "runtime/supervisor.h"

#include <memory>
#include <string>

namespace Toucandeck
{

/// Dependencies of ControllerRole. All references must outlive it.
struct ControllerRoleParts
{
    EventLoop &loop;
    MessageSocket &messages;
    RandomSource &random;
    EventRing &events; ///< Recent log lines for operators; also the logger.
    Metrics &metrics;
    std::string dataFolder;
    Member self; ///< Failure domain and addresses of this process; the replica id comes from the data folder.
    std::string token; ///< Operators' token; empty: no token is required.
};

/// Controller role of the daemon: a replica of the log, the coordinator of leases and partitions, and the operators' interface.
class ControllerRole : public Component, public RouterLink
{
public:
    explicit ControllerRole(const ControllerRoleParts &parts);
    ~ControllerRole() override;

    std::string name() const override;
    Result<void> start(FailureHandler onFailure) override;
    void stop(std::function<void()> done) override;
    void abort() override;

    /// Handles a message for controllers; other messages are ignored.
    void receive(const wire::Envelope &envelope);
    /// Answers requests under /v1/; returns false for other paths.
    bool handleHttp(const std::shared_ptr<HttpExchange> &exchange);
    /// True if this controller knows a leader.
    bool isReady() const;
    void setToken(const std::string &token);

    void sendToSession(SessionId session, const wire::Envelope &envelope) override;
    void sendToAddress(const std::string &address, const wire::Envelope &envelope) override;

private:
    void tick();
    void onIterationEnd();
    void updateLeadership();

    ControllerRoleParts m_parts;
    BoundedLoadPlacement m_placement;
    std::unique_ptr<ReplicaDriver> m_driver;
    std::unique_ptr<Coordinator> m_coordinator;
    std::unique_ptr<OperatorApi> m_operatorApi;
    EventLoop::Watch m_tickTimer;
    EventLoop::Watch m_iterationEndHook;
    FailureHandler m_onFailure;
    bool m_isLeading = false;
    Term m_leadershipTerm; ///< Term at the last change of leadership.
    prometheus::Gauge &m_leaderGauge;
    prometheus::Gauge &m_commitGauge;
    prometheus::Gauge &m_sessionsGauge;
};

} // namespace Toucandeck
