#include "daemon/controller_events.h"
#include "daemon/operator_api.h"
#include "daemon/operator_http.h"
#include "daemon/operator_json.h"

// Requests of operators about the membership of the controllers.

namespace Toucandeck
{

using internal::answerWith;
using internal::errorResponse;
using internal::jsonResponse;
using internal::queryValue;

void OperatorApi::getControllers(const Exchange &exchange)
{
    exchange->respond(jsonResponse(200, internal::controllersToJson(m_driver.replica())));
}

void OperatorApi::addController(const Exchange &exchange)
{
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(added, internal::membershipFromJson(exchange->request().body));
            if (added.members.size() != 1) {
                return fail(ErrorCode::InvalidArgument, "members must contain exactly one controller");
            }
            added.members.front().role = ReplicaRole::Learner;
            proposeMembership(exchange, m_driver.replica().membership().with(added.members.front()));
            return {};
        },
        [&](const Error &error) { exchange->respond(errorResponse(error)); });
}

void OperatorApi::removeController(const Exchange &exchange)
{
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(id, internal::idFromText(queryValue(exchange->request(), "replica")));
            if (!m_driver.replica().membership().find(ReplicaId{ id })) {
                return fail(ErrorCode::NotFound, fmt::format("controller {} is not a member", internal::idText(id)));
            }
            proposeMembership(exchange, m_driver.replica().membership().without(ReplicaId{ id }));
            return {};
        },
        [&](const Error &error) { exchange->respond(errorResponse(error)); });
}

void OperatorApi::proposeMembership(const Exchange &exchange, const Membership &membership)
{
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(index, m_driver.replica().proposeMembership(membership));
            m_driver.replica().onOutcome(index, [this, exchange](ProposalOutcome outcome) {
                if (outcome == ProposalOutcome::Applied) {
                    getControllers(exchange);
                } else {
                    answerNotLeader(exchange);
                }
            });
            return {};
        },
        [&](const Error &error) { exchange->respond(errorResponse(error)); });
}

void OperatorApi::getIdentity(const Exchange &exchange)
{
    const auto &replica = m_driver.replica();
    exchange->respond(jsonResponse(200,
                                   { { "replica", internal::idText(replica.id().value) },
                                     { "member", replica.membership().find(replica.id()) != nullptr },
                                     { "failure_domain", m_self.failureDomain },
                                     { "address", m_self.address },
                                     { "http_address", m_self.httpAddress } }));
}

void OperatorApi::bootstrap(const Exchange &exchange)
{
    answerWith(exchange, [&]() -> Result<HttpResponse> {
        BOOST_LEAF_AUTO(membership, internal::membershipFromJson(exchange->request().body));
        BOOST_LEAF_CHECK(m_driver.bootstrap(membership));
        m_logger.write(Events::kControllerBootstrapped, { field("members", membership.members.size()) });
        return jsonResponse(200, { { "members", membership.members.size() } });
    });
}

} // namespace Toucandeck
