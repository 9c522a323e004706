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

/// A controller as known to the leader.
struct ControllerMember
{
    ReplicaId id;
    std::string failureDomain;
    std::string host; ///< IP address of its VM; empty if unknown.
    bool voter = true; ///< False for a learner.
    std::optional<bool> reachable; ///< std::nullopt if unknown, which counts as unreachable.
};

/// Last number of requests in flight reported by each router.
using InFlightReports = std::unordered_map<SessionId, std::uint32_t>;

/// Which instances and failure domains can be switched off now, and why the others cannot. Nothing is safe as long as a value that
/// it depends on is unknown.
class LeaveStatus
{
public:
    /// An instance in state leaving or out.
    struct Instance
    {
        RowKey key;
        wire::RowState state = wire::SERVING;
        SessionId session; ///< None if not registered.
        std::uint32_t partitions = 0; ///< Partitions that it owns or is about to receive.
        std::uint32_t hotKeys = 0; ///< Hot keys that it owns or is about to receive.
        std::optional<std::uint32_t> inFlight; ///< Requests in flight; std::nullopt if unknown.
        bool safe = false; ///< Can be switched off now.
        std::vector<std::string> reasons; ///< Why it is not safe; empty if it is.
    };

    /// A failure domain that has a row, an instance or a controller.
    struct FailureDomain
    {
        std::string name;
        std::uint32_t instances = 0; ///< Registered instances.
        std::uint32_t partitions = 0; ///< Sum over its instances.
        std::uint32_t hotKeys = 0; ///< Sum over its instances.
        std::optional<std::uint32_t> inFlight; ///< Sum over its instances; std::nullopt if unknown for at least one.
        std::uint32_t controllers = 0; ///< Voters only.
        bool safe = false; ///< Can be switched off now.
        std::vector<std::string> reasons; ///< Why it is not safe; empty if it is.
    };

    /// @p now determines which leave times have passed. An empty list of controllers means that the membership is unknown. The
    /// controllers of all failure domains that are leaving or out are assumed to be switched off together.
    static LeaveStatus
    compute(const View &view, const InFlightReports &inFlight, std::span<const ControllerMember> controllers, WallTime now);

    /// Instances in state leaving or out, sorted by key.
    const std::vector<Instance> &instances() const;

    /// All failure domains, sorted by name.
    const std::vector<FailureDomain> &failureDomains() const;

private:
    std::vector<Instance> m_instances;
    std::vector<FailureDomain> m_failureDomains;
};

} // namespace Toucandeck
