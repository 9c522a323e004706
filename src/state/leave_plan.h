#pragma once

#include "state/view.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucandeck
{

/// Load that each router reported last, in thousandths of the slots of its backend server.
using LoadReports = std::unordered_map<SessionId, std::uint32_t>;

/// Says whether the instances that would remain after an edit can carry the present load.
class LeavePlan
{
public:
    /// Result for one service that has registered instances.
    struct Service
    {
        std::string name;
        std::uint32_t instancesBefore = 0; ///< Serving, with a backend server.
        std::uint32_t instancesAfter = 0;
        std::uint64_t load = 0; ///< Of all registered instances, in thousandths of a slot.
        std::uint64_t capacityBefore = 0; ///< Load that the weights let the service carry, in thousandths of a slot.
        std::uint64_t capacityAfter = 0;
        bool fits = true; ///< Always true if the edit does not lower the capacity.
        std::string reason; ///< Why it does not fit.
    };

    /// Computes the effect of the edits. An instance with a leave time counts as gone. Fails with InvalidArgument for an edit that
    /// is not valid in itself.
    static Result<LeavePlan> compute(const View &view, std::span<const wire::RowEdit> edits, const LoadReports &loads);

    /// Whether every service fits.
    bool fits() const;

    /// Success, or Refused with the reasons of all services that do not fit.
    Result<void> check() const;

    /// Sorted by name.
    const std::vector<Service> &services() const;

private:
    static Service planService(const std::string &name, const View &before, const View &after, const LoadReports &loads);

    std::vector<Service> m_services;
};

} // namespace Toucandeck
