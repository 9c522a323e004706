#include "ownership/placement_tally.h"

namespace Toucandeck::internal
{

PlacementTally::PlacementTally(const PlacementInput &input)
    : m_input(input)
    , m_counts(input.receivers.size())
    , m_incomingMoves(input.receivers.size())
{
    for (std::size_t i = 0; i < input.receivers.size(); ++i) {
        m_indexes.emplace(input.receivers[i].session, i);
    }
    for (const auto &it : input.partitions) {
        if (const auto receiver = indexOf(it.movingTo ? it.movingTo : it.owner)) {
            ++m_counts[*receiver];
            m_incomingMoves[*receiver] += it.movingTo ? 1 : 0;
        }
    }
}

std::optional<std::size_t> PlacementTally::indexOf(SessionId session) const
{
    const auto it = m_indexes.find(session);
    return it == m_indexes.end() ? std::nullopt : std::optional(it->second);
}

std::uint32_t PlacementTally::count(std::size_t receiver) const
{
    return m_counts[receiver];
}

bool PlacementTally::mayBeginMoveTo(std::size_t receiver) const
{
    return m_incomingMoves[receiver] < m_input.receivers[receiver].maxIncomingMoves;
}

void PlacementTally::addGrant(std::size_t to)
{
    ++m_counts[to];
}

void PlacementTally::addMove(std::optional<std::size_t> from, std::size_t to)
{
    if (from) {
        --m_counts[*from];
    }
    ++m_counts[to];
    ++m_incomingMoves[to];
}

std::optional<std::size_t> PlacementTally::leastLoaded(const std::vector<std::uint32_t> &bounds, bool byMove) const
{
    std::optional<std::size_t> best;
    double bestLoad = 0;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        const auto &receiver = m_input.receivers[i];
        if (!isEligibleOwner(receiver) || !receiver.mayReceive || m_counts[i] >= bounds[i] || (byMove && !mayBeginMoveTo(i))) {
            continue;
        }
        const double load = (m_counts[i] + 1) / receiver.weight;
        if (!best || load < bestLoad) {
            best = i;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace Toucandeck::internal
