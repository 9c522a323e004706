#pragma once

#include "common/ids.h"

#include <string>
#include <vector>

namespace Toucandeck
{

/// Partitions and hot keys of one service.
struct OwnedItems
{
    std::string service;
    std::vector<PartitionId> partitions;
    std::vector<KeyHash> hotKeys;

    bool empty() const
    {
        return partitions.empty() && hotKeys.empty();
    }
};

/// Is told by RouterAgent what its router has to do. The calls come from within RouterAgent's entry points; they may call
/// RouterAgent::released().
class AgentListener
{
public:
    virtual ~AgentListener() = default;

    /// The lease has ended or may have ended: cancel all requests in flight at the backend server.
    virtual void leaseLost() = 0;

    /// These items go to @p receiver and are no longer admitted. Finish the work in flight for them, transfer the idempotency
    /// records, then call RouterAgent::released(). Keep the records until the items have left the view.
    virtual void beginRelease(const OwnedItems &items, SessionId receiver) = 0;

    /// The move of these items was given up; they are admitted again. A transfer in progress stops.
    virtual void releaseCancelled(const OwnedItems &items) = 0;
};

} // namespace Toucandeck
