#include "ownership/coordinator.h"

#include "ownership/coordinator_core.h"

namespace Toucandeck
{

Coordinator::Coordinator(const CoordinatorParts &parts)
    : m_core(std::make_unique<internal::CoordinatorCore>(parts))
{
}

Coordinator::~Coordinator() = default;

void Coordinator::onLeadershipGained()
{
    m_core->onLeadershipGained();
}

void Coordinator::onLeadershipLost()
{
    m_core->onLeadershipLost();
}

void Coordinator::receive(const std::string &sender, const wire::Envelope &envelope)
{
    m_core->receive(sender, envelope);
}

void Coordinator::onCommandApplied(LogIndex index, const wire::ViewDelta &delta)
{
    m_core->onCommandApplied(index, delta);
}

void Coordinator::tick()
{
    m_core->tick();
}

std::vector<SessionStatus> Coordinator::sessions() const
{
    return m_core->sessions();
}

bool Coordinator::isAppliedEverywhere(LogIndex version) const
{
    return m_core->isAppliedEverywhere(version);
}

} // namespace Toucandeck
