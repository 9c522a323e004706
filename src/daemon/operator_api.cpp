#include "daemon/operator_api.h"

#include "daemon/controller_events.h"
#include "daemon/operator_http.h"
#include "daemon/operator_json.h"
#include "state/table_csv.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using internal::answerWith;
using internal::errorResponse;
using internal::jsonResponse;
using internal::queryValue;
using nlohmann::json;

constexpr std::string_view kPrefix = "/v1/";

/// IP of "tcp://IP:PORT".
std::string hostOf(std::string_view address)
{
    const auto start = address.find("://");
    const auto host = start == std::string_view::npos ? address : address.substr(start + 3);
    return std::string(host.substr(0, host.rfind(':')));
}

/// True if both texts are equal. Takes the same time for every wrong token of the same length, so that timing reveals nothing.
bool equalSecrets(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t n = 0; n < a.size(); ++n) {
        difference |= static_cast<unsigned char>(a[n]) ^ static_cast<unsigned char>(b[n]);
    }
    return difference == 0;
}

} // namespace

struct OperatorApi::Route
{
    std::string_view method;
    std::string_view path;
    Handler handler;
    bool leaderOnly;
};

const OperatorApi::Route *OperatorApi::findRoute(std::string_view method, std::string_view path)
{
    static constexpr Route kRoutes[] = {
        { "GET", "/v1/table", &OperatorApi::getTable, true },
        { "GET", "/v1/table.csv", &OperatorApi::getTableCsv, true },
        { "POST", "/v1/table/edit", &OperatorApi::editTable, true },
        { "POST", "/v1/table/import", &OperatorApi::importTable, true },
        { "GET", "/v1/applied", &OperatorApi::getApplied, true },
        { "GET", "/v1/owners", &OperatorApi::getOwners, true },
        { "GET", "/v1/status", &OperatorApi::getStatus, true },
        { "POST", "/v1/leave/plan", &OperatorApi::planLeave, true },
        { "GET", "/v1/leave/status", &OperatorApi::getLeaveStatus, true },
        { "GET", "/v1/controllers", &OperatorApi::getControllers, true },
        { "POST", "/v1/controllers/add", &OperatorApi::addController, true },
        { "POST", "/v1/controllers/remove", &OperatorApi::removeController, true },
        { "GET", "/v1/identity", &OperatorApi::getIdentity, false },
        { "POST", "/v1/bootstrap", &OperatorApi::bootstrap, false },
        { "GET", "/v1/events", &OperatorApi::getEvents, false },
    };
    const auto matches = [&](const Route &it) { return it.method == method && it.path == path; };
    const auto *it = std::find_if(std::begin(kRoutes), std::end(kRoutes), matches);
    return it == std::end(kRoutes) ? nullptr : it;
}

OperatorApi::OperatorApi(ReplicaDriver &driver,
                         Coordinator &coordinator,
                         const EventRing &events,
                         const Clock &clock,
                         Logger &logger,
                         Member self,
                         std::string token)
    : m_driver(driver)
    , m_coordinator(coordinator)
    , m_events(events)
    , m_clock(clock)
    , m_logger(logger)
    , m_self(std::move(self))
    , m_token(std::move(token))
{
}

bool OperatorApi::handle(const Exchange &exchange)
{
    const auto &request = exchange->request();
    if (request.path().substr(0, kPrefix.size()) != kPrefix) {
        return false;
    }
    if (!isAuthorized(request)) {
        m_logger.write(Events::kOperatorRefused, { field("peer", exchange->peer()), field("path", request.path()) });
        exchange->respond(
            errorResponse({ ErrorCode::Unauthorized, "the request needs 'Authorization: Bearer TOKEN' with the operators' token" }));
        return true;
    }
    const auto *route = findRoute(request.method, request.path());
    if (!route) {
        exchange->respond(errorResponse({ ErrorCode::NotFound, fmt::format("no such endpoint: {} {}", request.method, request.path()) }));
    } else if (route->leaderOnly) {
        runIfLeader(exchange, route->handler);
    } else {
        (this->*route->handler)(exchange);
    }
    return true;
}

void OperatorApi::setToken(std::string token)
{
    m_token = std::move(token);
}

bool OperatorApi::isAuthorized(const HttpRequest &request) const
{
    return m_token.empty() || equalSecrets(request.header("Authorization").value_or(""), "Bearer " + m_token);
}

void OperatorApi::runIfLeader(const Exchange &exchange, Handler handler)
{
    if (!m_driver.replica().isLeader()) {
        answerNotLeader(exchange);
        return;
    }
    m_driver.replica().confirmLeadership([this, exchange, handler](const Result<void> &confirmed) {
        if (confirmed) {
            (this->*handler)(exchange);
        } else {
            answerNotLeader(exchange);
        }
    });
}

void OperatorApi::answerNotLeader(const Exchange &exchange) const
{
    exchange->respond(jsonResponse(421,
                                   { { "error", toString(ErrorCode::NotLeader) },
                                     { "message", "this controller does not lead" },
                                     { "leader", m_driver.leaderHttpAddress() } }));
}

void OperatorApi::getTable(const Exchange &exchange)
{
    exchange->respond(jsonResponse(200, internal::tableToJson(m_driver.state().view())));
}

void OperatorApi::getTableCsv(const Exchange &exchange)
{
    exchange->respond({ 200, { { "Content-Type", "text/csv" } }, TableCsv::write(m_driver.state().view()) });
}

void OperatorApi::editTable(const Exchange &exchange)
{
    handleError(
        [&]() -> Result<void> {
            bool force = false;
            BOOST_LEAF_AUTO(edit, internal::editFromJson(exchange->request().body, force));
            proposeEdit(exchange, edit, force);
            return {};
        },
        [&](const Error &error) { exchange->respond(errorResponse(error)); });
}

void OperatorApi::importTable(const Exchange &exchange)
{
    handleError(
        [&]() -> Result<void> {
            const auto requestId = queryValue(exchange->request(), "request_id");
            if (requestId.empty()) {
                return fail(ErrorCode::InvalidArgument, "the query parameter request_id is required");
            }
            BOOST_LEAF_AUTO(edit, TableCsv::read(exchange->request().body, requestId));
            proposeEdit(exchange, edit, queryValue(exchange->request(), "force") == "true");
            return {};
        },
        [&](const Error &error) { exchange->respond(errorResponse(error)); });
}

void OperatorApi::proposeEdit(const Exchange &exchange, const wire::EditTable &edit, bool force)
{
    // A resent edit gets the answer of its first delivery, whatever the load is now.
    if (const auto *firstAnswer = m_driver.state().editAnswer(edit.request_id())) {
        answerEdit(exchange, *firstAnswer);
        return;
    }
    const bool fits = force
        || handleError(
                          [&]() -> Result<bool> {
                              const std::vector<wire::RowEdit> edits(edit.edits().begin(), edit.edits().end());
                              BOOST_LEAF_AUTO(plan, LeavePlan::compute(m_driver.state().view(), edits, loads()));
                              BOOST_LEAF_CHECK(plan.check());
                              return true;
                          },
                          [&](const Error &error) {
                              exchange->respond(errorResponse(error));
                              return false;
                          });
    if (!fits) {
        return;
    }
    wire::Command command;
    *command.mutable_edit_table() = edit;
    m_driver.proposeForAnswer(command, [this, exchange](std::optional<LogIndex> index, const CommandAnswer &answer) {
        if (!index || !answer.edit) {
            exchange->respond(errorResponse({ ErrorCode::Unavailable,
                                              "the leader changed; the edit may have been accepted: resend it with the same request id",
                                              Verdict::MayHaveRun }));
            return;
        }
        answerEdit(exchange, *answer.edit);
    });
}

void OperatorApi::answerEdit(const Exchange &exchange, const wire::EditAnswer &answer) const
{
    m_logger.write(Events::kEditAnswered,
                   { field("status", wire::EditStatus_Name(answer.status())),
                     field("revision", answer.revision()),
                     field("message", answer.message()) });
    if (answer.status() == wire::ACCEPTED) {
        exchange->respond(jsonResponse(200, { { "revision", answer.revision() } }));
        return;
    }
    const auto code = answer.status() == wire::CONFLICT ? ErrorCode::Conflict : ErrorCode::InvalidArgument;
    exchange->respond(errorResponse({ code, answer.message() }));
}

void OperatorApi::getApplied(const Exchange &exchange)
{
    const auto version = std::strtoull(queryValue(exchange->request(), "version").c_str(), nullptr, 10);
    json pending = json::array();
    for (const auto &it : m_coordinator.sessions()) {
        if (it.version.value < version && it.leaseEnd > m_clock.now()) {
            pending.push_back(it.instance);
        }
    }
    exchange->respond(jsonResponse(200, { { "applied", m_coordinator.isAppliedEverywhere(LogIndex{ version }) }, { "pending", pending } }));
}

void OperatorApi::getOwners(const Exchange &exchange)
{
    exchange->respond(jsonResponse(200, internal::ownersToJson(m_driver.state().view())));
}

void OperatorApi::getStatus(const Exchange &exchange)
{
    const auto &view = m_driver.state().view();
    exchange->respond(jsonResponse(200,
                                   { { "version", view.version().value },
                                     { "controllers", internal::controllersToJson(m_driver.replica()) },
                                     { "sessions", internal::sessionsToJson(view, m_coordinator.sessions(), m_clock.now()) } }));
}

void OperatorApi::planLeave(const Exchange &exchange)
{
    answerWith(exchange, [&]() -> Result<HttpResponse> {
        bool force = false;
        BOOST_LEAF_AUTO(edit, internal::editFromJson(exchange->request().body, force));
        const std::vector<wire::RowEdit> edits(edit.edits().begin(), edit.edits().end());
        BOOST_LEAF_AUTO(plan, LeavePlan::compute(m_driver.state().view(), edits, loads()));
        return jsonResponse(200, internal::toJson(plan));
    });
}

void OperatorApi::getLeaveStatus(const Exchange &exchange)
{
    InFlightReports inFlight;
    for (const auto &it : m_coordinator.sessions()) {
        if (it.lastRenewal) {
            inFlight[it.session] = it.inFlight;
        }
    }
    std::vector<ControllerMember> members;
    const auto &replica = m_driver.replica();
    for (const auto &it : replica.membership().members) {
        ControllerMember member;
        member.id = it.replica;
        member.failureDomain = it.failureDomain;
        member.host = hostOf(it.address);
        member.voter = it.role == ReplicaRole::Voter;
        member.reachable = replica.syncedIndexOf(it.replica) >= replica.commitIndex() || it.replica == replica.id();
        members.push_back(std::move(member));
    }
    const auto status = LeaveStatus::compute(m_driver.state().view(), inFlight, members, m_clock.wallNow());
    exchange->respond(jsonResponse(200, internal::toJson(status)));
}

LoadReports OperatorApi::loads() const
{
    LoadReports loads;
    for (const auto &it : m_coordinator.sessions()) {
        // The load of a session that has not renewed yet is unknown; LeavePlan does not treat an unknown load as idle.
        if (it.lastRenewal) {
            loads[it.session] = it.loadPermille;
        }
    }
    return loads;
}

void OperatorApi::getEvents(const Exchange &exchange)
{
    exchange->respond(jsonResponse(200, { { "events", m_events.lines() } }));
}

} // namespace Toucandeck
