#pragma once

#include "ownership/placement.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Toucandeck::OwnershipBench
{

/// Partitions of one service and their owners while instances join and leave.
class Deployment
{
public:
    Deployment(const Placement &placement, std::uint32_t instances, std::uint32_t partitions);

    void leave(std::size_t instance);
    void join();
    std::size_t instances() const;

    /// Owner of the partition, as a position among the instances.
    std::size_t ownerOf(std::uint32_t partition) const;

    /// Partitions that changed their owner since the start.
    std::uint64_t moved() const;
    /// Minimum for the same events: the partitions of leaving instances, and those above the load bound after another instance joined.
    std::uint64_t leastMoves() const;

private:
    std::uint64_t settle();

    const Placement &m_placement;
    PlacementInput m_input;
    std::uint64_t m_nextSession = 1;
    std::uint64_t m_moved = 0;
    std::uint64_t m_least = 0;
};

} // namespace Toucandeck::OwnershipBench
