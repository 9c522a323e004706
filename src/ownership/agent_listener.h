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

/// Callbacks from RouterAgent to its router. They run within RouterAgent's entry points and may call
/// RouterAgent::completeRelease().
class AgentListener
{
public:
    virtual ~AgentListener() = default;

    /// The lease has expired or may no longer be valid: cancel all requests in flight at the backend server.
    virtual void onLeaseLost() = 0;

    /// These items move to @p receiver and are no longer admitted. Finish the work in flight for them, transfer the idempotency
    /// records, then call RouterAgent::completeRelease(). Keep the records until the items have left the view.
    virtual void beginRelease(const OwnedItems &items, SessionId receiver) = 0;

    /// The move of these items was cancelled; they are admitted again. Stop a transfer in progress.
    virtual void cancelRelease(const OwnedItems &items) = 0;
};

} // namespace Toucandeck
