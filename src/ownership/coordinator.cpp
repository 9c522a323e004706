#include "ownership/coordinator.h"

#include "ownership/coordinator_core.h"

namespace Toucandeck
{

Coordinator::Coordinator(const CoordinatorParts &parts)
    : m_core(std::make_unique<internal::CoordinatorCore>(parts))
{
}

Coordinator::~Coordinator() = default;

void Coordinator::becameLeader()
{
    m_core->becameLeader();
}

void Coordinator::lostLeadership()
{
    m_core->lostLeadership();
}

void Coordinator::receive(const std::string &sender, const wire::Envelope &envelope)
{
    m_core->receive(sender, envelope);
}

void Coordinator::applied(LogIndex index, const wire::ViewDelta &delta)
{
    m_core->applied(index, delta);
}

void Coordinator::tick()
{
    m_core->tick();
}

std::vector<SessionStatus> Coordinator::sessions() const
{
    return m_core->sessions();
}

bool Coordinator::appliedEverywhere(LogIndex version) const
{
    return m_core->appliedEverywhere(version);
}

} // namespace Toucandeck
