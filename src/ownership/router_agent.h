#pragma once

#include "common/clock.h"
#include "common/ids.h"
#include "common/random_source.h"
#include "log/logger.h"
#include "ownership/agent_listener.h"
#include "ownership/controller_link.h"
#include "ownership/wire_namespace.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Toucandeck
{

class View;

namespace internal
{
class AgentCore;
}

/// Permission to dispatch one request now.
struct Admission
{
    PartitionId partition;
    /// Set if a hot key override grants the key; the epoch then applies to this key alone, not to the partition.
    std::optional<KeyHash> hotKey;
    Epoch epoch;
    /// End of the lease on this VM's monotonic clock.
    TimePoint leaseEnd;
    /// Wall time of a grant after the loss of the previous owner; empty after a first grant or a graceful move.
    std::optional<WallTime> crashGrantTime;
};

/// Dependencies of RouterAgent. All must outlive it.
struct AgentParts
{
    const Clock &clock;
    RandomSource &random;
    ControllerLink &controllers;
    AgentListener &listener;
    Logger &logger;
};

/// Load figures reported with the next renewals.
struct AgentLoad
{
    std::uint32_t inFlight = 0;
    std::uint32_t loadPermille = 0;
    std::vector<wire::HotKeyCount> hotKeys;
};

/// Holder side of ownership at one router: session, lease, view. Each entry point first compares the lease end with the clock, so
/// that a pause of the process between any two calls cannot lead to an admission after the lease end.
class RouterAgent
{
public:
    /// @param description all fields but the session id, which the agent draws at random for each incarnation.
    RouterAgent(const AgentParts &parts, const wire::RouterSession &description);
    ~RouterAgent();
    RouterAgent(const RouterAgent &) = delete;
    RouterAgent &operator=(const RouterAgent &) = delete;

    /// Call every 10 ms; the first call registers.
    void tick();

    /// Handles a message from a controller. Bodies that are not for routers are ignored.
    void receive(const wire::Envelope &envelope);

    /// Permission for a request with this key; call right before dispatch. Empty if the lease is not valid now, or the key is not
    /// owned or is being moved away.
    std::optional<Admission> admit(std::string_view service, KeyHash key);

    /// End of the lease if this router may now serve a service that is not partitioned by key: the lease is valid, the backend server
    /// is ready, no shutdown has begun, and the instance is neither leaving nor out.
    std::optional<TimePoint> mayServeUnkeyed();

    /// Call when the items passed to AgentListener::beginRelease() are drained and transferred. Items that are not being released
    /// are ignored.
    void completeRelease(const OwnedItems &items);

    /// Sets the state of the backend server; a change is reported to the controllers with a renewal that is sent at once.
    void setBackend(bool ready, bool cold);

    /// Sets the addresses and properties that the backend server announced. A change is registered under the same session; only
    /// another service, failure domain or instance gets a new one.
    void setDescription(const wire::RouterSession &description);

    void setLoad(AgentLoad load);

    /// Starts a graceful shutdown: the backend server counts as not ready, so that all partitions move away; then the session is
    /// closed. The caller must have no requests in flight before it stops calling tick().
    void close();
    /// True when the controllers have closed the session.
    bool isClosed() const;

    /// Current view; version 0 before the first copy has arrived.
    const View &view() const;

    /// 0 while not registered.
    SessionId session() const;

    /// End of the lease if it is valid now.
    std::optional<TimePoint> leaseEnd();

private:
    std::unique_ptr<internal::AgentCore> m_core;
};

} // namespace Toucandeck
