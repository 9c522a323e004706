#include "ownership/deployment.h"

#include "common/assert.h"
#include "ownership/bounded_load.h"

#include <algorithm>
#include <map>

namespace Toucandeck::OwnershipBench
{

Deployment::Deployment(const Placement &placement, std::uint32_t instances, std::uint32_t partitions)
    : m_placement(placement)
{
    m_input.partitions.resize(partitions);
    for (std::uint32_t i = 0; i < instances; ++i) {
        m_input.receivers.push_back({});
        m_input.receivers.back().session = SessionId{ m_nextSession++ };
    }
    settle();
}

void Deployment::leave(std::size_t instance)
{
    auto &leaver = m_input.receivers[instance];
    const auto session = leaver.session;
    leaver.mayOwn = false;
    m_least += static_cast<std::uint64_t>(
        std::count_if(m_input.partitions.begin(), m_input.partitions.end(), [session](const auto &it) { return it.owner == session; }));
    m_moved += settle();
    m_input.receivers.erase(m_input.receivers.begin() + static_cast<std::ptrdiff_t>(instance));
}

void Deployment::join()
{
    m_input.receivers.push_back({});
    m_input.receivers.back().session = SessionId{ m_nextSession++ };
    const auto bounds = BoundedLoadPlacement::bounds(m_input);
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        const auto owned
            = static_cast<std::uint32_t>(std::count_if(m_input.partitions.begin(), m_input.partitions.end(), [&](const auto &it) {
                  return it.owner == m_input.receivers[i].session;
              }));
        m_least += owned > bounds[i] ? owned - bounds[i] : 0;
    }
    m_moved += settle();
}

std::size_t Deployment::instances() const
{
    return m_input.receivers.size();
}

std::size_t Deployment::ownerOf(std::uint32_t partition) const
{
    const auto owner = m_input.partitions[partition].owner;
    const auto it
        = std::find_if(m_input.receivers.begin(), m_input.receivers.end(), [owner](const auto &it) { return it.session == owner; });
    TOUCANDECK_ASSERT(it != m_input.receivers.end(), "every partition has an owner");
    return static_cast<std::size_t>(it - m_input.receivers.begin());
}

std::uint64_t Deployment::moved() const
{
    return m_moved;
}

std::uint64_t Deployment::leastMoves() const
{
    return m_least;
}

std::uint64_t Deployment::settle()
{
    std::uint64_t moves = 0;
    for (auto changes = m_placement.plan(m_input); !changes.empty(); changes = m_placement.plan(m_input)) {
        moves += changes.size();
        for (const auto &it : changes) {
            m_input.partitions[it.partition.value].owner = it.to;
        }
    }
    return moves;
}

} // namespace Toucandeck::OwnershipBench
