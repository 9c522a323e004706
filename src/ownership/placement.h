#pragma once

#include "common/ids.h"

#include <cstdint>
#include <vector>

namespace Toucandeck
{

/// An instance as a place for partitions.
struct Receiver
{
    SessionId session;
    /// Share of the load relative to the other receivers. Instances with weight 0 receive nothing and keep nothing.
    double weight = 1;
    /// False for an instance that leaves, is out or has no backend server: it loses its partitions by moves and receives none.
    bool mayOwn = true;
    /// False for an instance that keeps what it has but gets nothing new, because it was not heard from lately.
    bool mayReceive = true;
    /// Most partitions in motion towards it.
    std::uint32_t motionLimit = 4;
};

/// Present owner of one partition.
struct PlacedPartition
{
    /// 0: nobody, the partition may be granted.
    SessionId owner;
    /// Receiver of a move in progress; 0: none.
    SessionId movingTo;
    /// The partition may not change now: a proposal is pending, or the previous owner's lease may still run.
    bool held = false;
};

/// Input of a placement: one service.
struct PlacementInput
{
    /// In ascending order of the session.
    std::vector<Receiver> receivers;
    /// Indexed by PartitionId.
    std::vector<PlacedPartition> partitions;
};

/// A decision: grant (from is 0) or begin of a move.
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

    /// Changes to begin now. Deterministic; leaves alone what is held or already in motion, and keeps the motion limits.
    virtual std::vector<PlacementChange> plan(const PlacementInput &input) const = 0;
};

} // namespace Toucandeck
