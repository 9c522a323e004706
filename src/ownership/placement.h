#pragma once

#include "common/ids.h"

#include <cstdint>
#include <vector>

namespace Toucandeck
{

/// An instance that partitions can be assigned to.
struct Receiver
{
    SessionId session;
    /// Share of the load relative to the other receivers. Instances with weight 0 receive nothing and keep nothing.
    double weight = 1;
    /// False for an instance that leaves, is out or has no backend server: its partitions move away and it receives none.
    bool mayOwn = true;
    /// False for an instance that keeps its partitions but receives none, because its lease was not extended recently.
    bool mayReceive = true;
    /// Maximum number of moves in progress towards it.
    std::uint32_t maxIncomingMoves = 4;
};

/// Current ownership of one partition.
struct PlacedPartition
{
    /// 0: no owner, the partition may be granted.
    SessionId owner;
    /// Receiver of a move in progress; 0: none.
    SessionId movingTo;
    /// The partition must not change now: a proposal is pending, or the previous owner's lease may still be valid.
    bool isBlocked = false;
};

/// Input of a placement for one service.
struct PlacementInput
{
    /// In ascending order of their sessions.
    std::vector<Receiver> receivers;
    /// Indexed by PartitionId.
    std::vector<PlacedPartition> partitions;
};

/// A grant (from is 0) or the start of a move.
struct PlacementChange
{
    PartitionId partition;
    SessionId from;
    SessionId to;

    bool operator==(const PlacementChange &) const = default;
};

/// Strategy that decides which session owns which partition.
class Placement
{
public:
    virtual ~Placement() = default;

    /// Changes to begin now. Deterministic; skips blocked and moving partitions, and observes the limits on incoming moves.
    virtual std::vector<PlacementChange> plan(const PlacementInput &input) const = 0;
};

} // namespace Toucandeck
