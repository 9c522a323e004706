#pragma once

#include "ownership/placement.h"

#include <optional>
#include <unordered_map>

namespace Toucandeck::internal
{

/// Counts the partitions that each receiver will own once all moves in progress are complete. Shared by the placement strategies.
class PlacementTally
{
public:
    explicit PlacementTally(const PlacementInput &input);

    /// Index of the session among the receivers.
    std::optional<std::size_t> indexOf(SessionId session) const;

    /// Partitions that the receiver owns or will own.
    std::uint32_t count(std::size_t receiver) const;

    /// Whether another move towards the receiver may begin.
    bool mayBeginMoveTo(std::size_t receiver) const;

    void addGrant(std::size_t to);
    void addMove(std::optional<std::size_t> from, std::size_t to);

    /// Among receivers that may receive and are below their bound, the one with the lowest load by weight after one more
    /// partition. @p byMove skips receivers at their limit on incoming moves.
    std::optional<std::size_t> leastLoaded(const std::vector<std::uint32_t> &bounds, bool byMove) const;

private:
    const PlacementInput &m_input;
    std::unordered_map<SessionId, std::size_t> m_indexes;
    std::vector<std::uint32_t> m_counts;
    std::vector<std::uint32_t> m_incomingMoves;
};

/// Whether the receiver may own partitions and has a positive weight.
inline bool isEligibleOwner(const Receiver &receiver)
{
    return receiver.mayOwn && receiver.weight > 0;
}

} // namespace Toucandeck::internal
