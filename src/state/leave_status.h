#pragma once

#include "state/view.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucandeck
{

/// A controller as the leader sees it.
struct ControllerMember
{
    ReplicaId id;
    std::string failureDomain;
    std::string host; ///< IP number of its VM; empty if unknown.
    bool voter = true; ///< False for a learner.
    std::optional<bool> reachable; ///< Unknown counts as not reachable.
};

/// Requests in flight that each router reported last.
using InFlightReports = std::unordered_map<SessionId, std::uint32_t>;

/// Says what can be switched off now, and why the rest cannot. Never says "safe" while a figure is unknown.
class LeaveStatus
{
public:
    /// An instance that is leaving or out.
    struct Instance
    {
        RowKey key;
        wire::RowState state = wire::SERVING;
        SessionId session; ///< None: not registered.
        std::uint32_t partitions = 0; ///< Owned, or on their way to it.
        std::uint32_t hotKeys = 0; ///< Owned, or on their way to it.
        std::optional<std::uint32_t> inFlight; ///< Nothing: unknown.
        bool safe = false;
        std::vector<std::string> reasons; ///< Why it is not safe.
    };

    /// Any failure domain that has a row, an instance or a controller.
    struct FailureDomain
    {
        std::string name;
        std::uint32_t instances = 0; ///< Registered.
        std::uint32_t partitions = 0;
        std::uint32_t hotKeys = 0;
        std::optional<std::uint32_t> inFlight; ///< Nothing: unknown for at least one instance.
        std::uint32_t controllers = 0;
        bool safe = false;
        std::vector<std::string> reasons;
    };

    /// @p now decides which leave times have passed. An empty list of controllers means that they are unknown. Controllers in all
    /// failure domains that are leaving or out are assumed to be switched off together.
    static LeaveStatus
    compute(const View &view, const InFlightReports &inFlight, std::span<const ControllerMember> controllers, WallTime now);

    /// Sorted by key.
    const std::vector<Instance> &instances() const;

    /// Sorted by name.
    const std::vector<FailureDomain> &failureDomains() const;

private:
    std::vector<Instance> m_instances;
    std::vector<FailureDomain> m_failureDomains;
};

} // namespace Toucandeck
