#pragma once

#include "state/view.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucandeck
{

/// Last load reported by each router, in thousandths of the slots of its backend server.
using LoadReports = std::unordered_map<SessionId, std::uint32_t>;

/// Effect of table edits on capacity: whether the instances that remain serving can carry the current load.
class LeavePlan
{
public:
    /// Effect on one service that has registered instances.
    struct Service
    {
        std::string name;
        std::uint32_t instancesBefore = 0; ///< Serving instances with a backend server, a positive weight and no leave time.
        std::uint32_t instancesAfter = 0; ///< The same, after the edits.
        std::uint64_t load = 0; ///< Load of all registered instances, in thousandths of a slot.
        std::uint64_t capacityBefore = 0; ///< Load at which the first instance is full, given the weights, in thousandths of a slot.
        std::uint64_t capacityAfter = 0; ///< The same, after the edits.
        bool fits = true; ///< Whether the capacity after the edits suffices. Always true if they do not lower it.
        std::string reason; ///< Why it does not fit; empty if it fits.
    };

    /// Computes the effect of the edits. An instance with a leave time counts as having left. Fails with InvalidArgument for an edit
    /// that checkRowEdit() rejects.
    static Result<LeavePlan> compute(const View &view, std::span<const wire::RowEdit> edits, const LoadReports &loads);

    /// Whether all services fit.
    bool fits() const;

    /// Fails with Refused and the reasons of all services that do not fit.
    Result<void> check() const;

    /// Services with registered instances, sorted by name.
    const std::vector<Service> &services() const;

private:
    static Service planService(const std::string &name, const View &before, const View &after, const LoadReports &loads);

    std::vector<Service> m_services;
};

} // namespace Toucandeck
