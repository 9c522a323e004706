#pragma once

#include "consensus/wire_namespace.h"

#include "common/ids.h"

namespace Toucandeck
{

/// Sends messages between replicas. May lose, delay, duplicate and reorder them.
class ReplicaTransport
{
public:
    virtual ~ReplicaTransport() = default;

    /// Must not call the replica.
    virtual void send(ReplicaId to, const wire::ReplicaMessage &message) = 0;
};

} // namespace Toucandeck
