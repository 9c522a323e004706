#include "daemon/controller_role.h"

#include "daemon/controller_events.h"
#include "daemon/operator_json.h"

namespace Toucandeck
{

namespace
{

constexpr Duration kTickInterval = std::chrono::milliseconds(10);

} // namespace

ControllerRole::ControllerRole(const ControllerRoleParts &parts)
    : m_parts(parts)
    , m_leaderGauge(parts.metrics.gauge("toucandeck_controller_leads", "1 while this controller leads, otherwise 0."))
    , m_commitGauge(parts.metrics.gauge("toucandeck_controller_commit_index", "Index of the last committed entry."))
    , m_sessionsGauge(parts.metrics.gauge("toucandeck_controller_sessions", "Registered router sessions."))
{
}

ControllerRole::~ControllerRole() = default;

std::string ControllerRole::name() const
{
    return "controller";
}

Result<void> ControllerRole::start(FailureHandler onFailure)
{
    m_onFailure = std::move(onFailure);
    m_isLeading = false;
    BOOST_LEAF_ASSIGN(m_driver,
                      ReplicaDriver::create({ m_parts.loop, m_parts.messages, m_parts.random, m_parts.events }, m_parts.dataFolder));
    const CoordinatorParts coordinator{ m_driver->state(), m_parts.loop.clock(), *m_driver, *this, *m_driver, m_placement, m_parts.events };
    m_coordinator = std::make_unique<Coordinator>(coordinator);
    m_driver->setAppliedCallback([this](LogIndex index, const wire::ViewDelta &delta) { m_coordinator->onCommandApplied(index, delta); });
    m_operatorApi = std::make_unique<OperatorApi>(
        *m_driver, *m_coordinator, m_parts.events, m_parts.loop.clock(), m_parts.events, m_parts.self, m_parts.token);
    if (m_driver->replica().membership().members.empty()) {
        m_parts.events.write(Events::kControllerWaits, { field("replica", internal::idText(m_driver->replica().id().value)) });
    }
    m_tickTimer = m_parts.loop.every(kTickInterval, [this] { tick(); });
    m_iterationEndHook = m_parts.loop.atIterationEnd([this] { onIterationEnd(); });
    return {};
}

void ControllerRole::stop(std::function<void()> done)
{
    abort();
    done();
}

void ControllerRole::abort()
{
    m_tickTimer.cancel();
    m_iterationEndHook.cancel();
    m_operatorApi.reset();
    m_coordinator.reset();
    m_driver.reset();
    m_isLeading = false;
}

void ControllerRole::receive(const wire::Envelope &envelope)
{
    if (!m_driver) {
        return;
    }
    if (envelope.has_replica()) {
        m_driver->receive(envelope.sender(), envelope.replica());
        return;
    }
    m_coordinator->receive(envelope.sender(), envelope);
}

bool ControllerRole::handleHttp(const std::shared_ptr<HttpExchange> &exchange)
{
    return m_operatorApi && m_operatorApi->handle(exchange);
}

bool ControllerRole::isReady() const
{
    return m_driver && m_driver->replica().leader().has_value();
}

void ControllerRole::setToken(const std::string &token)
{
    m_parts.token = token;
    if (m_operatorApi) {
        m_operatorApi->setToken(token);
    }
}

void ControllerRole::sendToSession(SessionId session, const wire::Envelope &envelope)
{
    const auto *it = m_driver->state().view().session(session);
    if (it) {
        m_parts.messages.send(it->message_address(), envelope);
    }
}

void ControllerRole::sendToAddress(const std::string &address, const wire::Envelope &envelope)
{
    m_parts.messages.send(address, envelope);
}

void ControllerRole::tick()
{
    m_driver->tick();
    m_coordinator->tick();
    m_leaderGauge.Set(m_isLeading ? 1 : 0);
    m_commitGauge.Set(static_cast<double>(m_driver->replica().commitIndex().value));
    m_sessionsGauge.Set(static_cast<double>(m_driver->state().view().sessions().size()));
}

void ControllerRole::onIterationEnd()
{
    m_driver->flush();
    if (const auto &failure = m_driver->replica().failure()) {
        m_parts.events.write(Events::kControllerStopped, { field("error", failure->message) });
        m_onFailure(failure->message);
        return;
    }
    updateLeadership();
}

void ControllerRole::updateLeadership()
{
    const bool leads = m_driver->replica().isLeaderReady();
    const auto currentTerm = m_driver->replica().term();
    if (leads == m_isLeading && (!leads || currentTerm == m_leadershipTerm)) {
        return;
    }
    if (leads && m_isLeading) {
        // Leadership was lost and regained between two iterations: the leases of the earlier term may not be valid any more.
        m_coordinator->onLeadershipLost();
    }
    m_isLeading = leads;
    m_leadershipTerm = currentTerm;
    const auto term = field("term", m_driver->replica().term().value);
    if (leads) {
        m_parts.events.write(Events::kControllerLeads, { term });
        m_coordinator->onLeadershipGained();
    } else {
        m_parts.events.write(Events::kControllerFollows, { term });
        m_coordinator->onLeadershipLost();
    }
}

} // namespace Toucandeck
