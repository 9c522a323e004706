#include "gateway/slot_shares.h"

#include <algorithm>

namespace Toucandeck
{

SlotShares::SlotShares(std::uint32_t slots, CallCounts clients)
    : m_slots(std::max(1U, slots))
    , m_clients(clients)
{
}

std::size_t SlotShares::guaranteedToClients() const
{
    return (m_slots + 1) / 2;
}

bool SlotShares::clientIsNext() const
{
    return clientsBeforeNested() > 0;
}

std::size_t SlotShares::clientsBeforeNested() const
{
    const auto guaranteed = guaranteedToClients();
    return std::min(m_clients.waiting, guaranteed - std::min(guaranteed, m_clients.running));
}

std::size_t SlotShares::leftForNested() const
{
    const auto clients = std::min(m_clients.running + m_clients.waiting, guaranteedToClients());
    return std::max<std::size_t>(1, m_slots - clients);
}

} // namespace Toucandeck
