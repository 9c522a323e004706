#pragma once

#include <cstddef>
#include <cstdint>

namespace Toucandeck
{

/// Calls of one origin at a backend server.
struct CallCounts
{
    std::size_t running = 0;
    std::size_t waiting = 0;
};

/// Shares the slots of a backend server between requests of clients and nested calls. Nested calls go first, since the requests that sent
/// them occupy slots elsewhere; but clients are guaranteed half of the slots, so that a service that is short serves both.
class SlotShares
{
public:
    SlotShares(std::uint32_t slots, CallCounts clients);

    /// Number of slots that requests of clients may occupy before nested calls go first.
    std::size_t guaranteedToClients() const;

    /// True if the next free slot belongs to a waiting request of a client, even if nested calls wait.
    bool clientIsNext() const;

    /// Number of waiting requests of clients that are dispatched before a nested call.
    std::size_t clientsBeforeNested() const;

    /// Number of slots that nested calls share while requests of clients wait as now.
    std::size_t leftForNested() const;

private:
    std::size_t m_slots;
    CallCounts m_clients;
};

} // namespace Toucandeck
