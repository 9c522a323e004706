#pragma once

#include "daemon/event_ring.h"
#include "daemon/replica_driver.h"
#include "ownership/coordinator.h"
#include "runtime/http_server.h"
#include "state/leave_plan.h"

#include <functional>
#include <memory>
#include <string>

namespace Toucandeck
{

/// The operators' HTTP interface of a controller, under /v1/ (design section 4). Reads are answered after a quorum has confirmed the
/// leadership; a controller that is not the leader answers 421 with the HTTP address of the leader.
class OperatorApi
{
public:
    /// @param token secret that each request carries as "Authorization: Bearer TOKEN"; empty: no token is required.
    OperatorApi(ReplicaDriver &driver,
                Coordinator &coordinator,
                const EventRing &events,
                const Clock &clock,
                Logger &logger,
                Member self,
                std::string token);

    /// Answers the request if its path is under /v1/; returns false otherwise.
    bool handle(const std::shared_ptr<HttpExchange> &exchange);

    void setToken(std::string token);

private:
    using Exchange = std::shared_ptr<HttpExchange>;
    using Handler = void (OperatorApi::*)(const Exchange &);
    struct Route;

    static const Route *findRoute(std::string_view method, std::string_view path);
    bool isAuthorized(const HttpRequest &request) const;
    /// Calls the handler once the leadership is confirmed, or answers with the leader's address.
    void runIfLeader(const Exchange &exchange, Handler handler);
    void answerNotLeader(const Exchange &exchange) const;

    void getTable(const Exchange &exchange);
    void getTableCsv(const Exchange &exchange);
    void editTable(const Exchange &exchange);
    void importTable(const Exchange &exchange);
    void getApplied(const Exchange &exchange);
    void getOwners(const Exchange &exchange);
    void getStatus(const Exchange &exchange);
    void planLeave(const Exchange &exchange);
    void getLeaveStatus(const Exchange &exchange);
    void getControllers(const Exchange &exchange);
    void addController(const Exchange &exchange);
    void removeController(const Exchange &exchange);
    void getIdentity(const Exchange &exchange);
    void bootstrap(const Exchange &exchange);
    void getEvents(const Exchange &exchange);

    void proposeEdit(const Exchange &exchange, const wire::EditTable &edit, bool force);
    void answerEdit(const Exchange &exchange, const wire::EditAnswer &answer) const;
    void proposeMembership(const Exchange &exchange, const Membership &membership);
    LoadReports loads() const;

    ReplicaDriver &m_driver;
    Coordinator &m_coordinator;
    const EventRing &m_events;
    const Clock &m_clock;
    Logger &m_logger;
    Member m_self;
    std::string m_token;
};

} // namespace Toucandeck
