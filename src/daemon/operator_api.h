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
/// leadership; a controller that does not lead answers 421 with the HTTP address of the leader.
class OperatorApi
{
public:
    /// @param token secret that each request carries as "Authorization: Bearer TOKEN"; empty: none is asked for.
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
    void whenLeading(const Exchange &exchange, Handler handler);
    void answerNotLeader(const Exchange &exchange) const;

    void table(const Exchange &exchange);
    void tableCsv(const Exchange &exchange);
    void edit(const Exchange &exchange);
    void import(const Exchange &exchange);
    void applied(const Exchange &exchange);
    void owners(const Exchange &exchange);
    void status(const Exchange &exchange);
    void leavePlan(const Exchange &exchange);
    void leaveStatus(const Exchange &exchange);
    void controllers(const Exchange &exchange);
    void addController(const Exchange &exchange);
    void removeController(const Exchange &exchange);
    void identity(const Exchange &exchange);
    void bootstrap(const Exchange &exchange);
    void events(const Exchange &exchange);

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
