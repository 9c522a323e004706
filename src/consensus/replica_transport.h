#pragma once

#include "consensus/wire_namespace.h"

#include "common/ids.h"

namespace Toucandeck
{

/// Sends messages to other replicas. The transport may lose, delay, duplicate and reorder messages.
class ReplicaTransport
{
public:
    virtual ~ReplicaTransport() = default;

    /// Must not call the replica.
    virtual void send(ReplicaId to, const wire::ReplicaMessage &message) = 0;
};

} // namespace Toucandeck
