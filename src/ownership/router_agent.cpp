#include "ownership/router_agent.h"

#include "ownership/agent_core.h"

namespace Toucandeck
{

RouterAgent::RouterAgent(const AgentParts &parts, const wire::RouterSession &description)
    : m_core(std::make_unique<internal::AgentCore>(parts, description))
{
}

RouterAgent::~RouterAgent() = default;

void RouterAgent::tick()
{
    m_core->tick();
}

void RouterAgent::receive(const wire::Envelope &envelope)
{
    m_core->receive(envelope);
}

std::optional<Admission> RouterAgent::admit(std::string_view service, KeyHash key)
{
    return m_core->admit(service, key);
}

std::optional<TimePoint> RouterAgent::mayServeUnkeyed()
{
    return m_core->mayServeUnkeyed();
}

void RouterAgent::completeRelease(const OwnedItems &items)
{
    m_core->completeRelease(items);
}

void RouterAgent::setBackend(bool ready, bool cold)
{
    m_core->setBackend(ready, cold);
}

void RouterAgent::setDescription(const wire::RouterSession &description)
{
    m_core->setDescription(description);
}

void RouterAgent::setLoad(AgentLoad load)
{
    m_core->setLoad(std::move(load));
}

void RouterAgent::close()
{
    m_core->close();
}

bool RouterAgent::isClosed() const
{
    return m_core->isClosed();
}

const View &RouterAgent::view() const
{
    return m_core->view();
}

SessionId RouterAgent::session() const
{
    return m_core->session();
}

std::optional<TimePoint> RouterAgent::leaseEnd()
{
    return m_core->leaseEnd();
}

} // namespace Toucandeck
