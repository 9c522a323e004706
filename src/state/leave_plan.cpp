#include "state/leave_plan.h"

#include "state/table_columns.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace Toucandeck
{

namespace
{

constexpr std::uint64_t thousandthsPerSlot = 1000;

// Placement may give an instance 1.1 times its fair share (design section 3.4), so only 10/11 of the slots count.
constexpr std::uint64_t usableShareNumerator = 10;
constexpr std::uint64_t usableShareDenominator = 11;

/// Whether the instance is serving and has a backend server, a positive weight and no leave time.
bool countsTowardsCapacity(const Instance &instance)
{
    return instance.row.state == wire::SERVING && !instance.row.leaveTime && instance.row.weight > 0 && instance.session->backend_ready();
}

struct Capacity
{
    std::uint32_t instances = 0;
    std::uint64_t load = 0; ///< In thousandths of a slot.
};

/// The load at which the first instance is full if the load is distributed by weight.
Capacity capacityOf(const std::vector<Instance> &instances)
{
    std::uint64_t weights = 0;
    for (const auto &it : instances) {
        weights += countsTowardsCapacity(it) ? it.row.weight : 0;
    }
    Capacity capacity{ 0, std::numeric_limits<std::uint64_t>::max() };
    for (const auto &it : instances) {
        if (countsTowardsCapacity(it)) {
            const auto usable = it.row.slots * thousandthsPerSlot * usableShareNumerator / usableShareDenominator;
            capacity.load = std::min(capacity.load, usable * weights / it.row.weight);
            ++capacity.instances;
        }
    }
    return capacity.instances == 0 ? Capacity{} : capacity;
}

/// Adds up the reported load. Returns the first instance without a report, or nullptr.
const Instance *sumLoad(const std::vector<Instance> &instances, const LoadReports &loads, std::uint64_t &sum)
{
    const Instance *unreported = nullptr;
    for (const auto &it : instances) {
        const auto report = loads.find(it.id);
        if (report != loads.end()) {
            sum += std::uint64_t{ report->second } * it.row.slots;
        } else if (it.session->backend_ready() && unreported == nullptr) {
            unreported = &it;
        }
    }
    return unreported;
}

std::string slotsText(std::uint64_t thousandths)
{
    return fmt::format("{}.{:03}", thousandths / thousandthsPerSlot, thousandths % thousandthsPerSlot);
}

} // namespace

LeavePlan::Service LeavePlan::planService(const std::string &name, const View &before, const View &after, const LoadReports &loads)
{
    Service service;
    service.name = name;
    const auto &instances = before.instancesOf(name);
    const auto capacityBefore = capacityOf(instances);
    const auto capacityAfter = capacityOf(after.instancesOf(name));
    const auto *unreported = sumLoad(instances, loads, service.load);
    service.instancesBefore = capacityBefore.instances;
    service.instancesAfter = capacityAfter.instances;
    service.capacityBefore = capacityBefore.load;
    service.capacityAfter = capacityAfter.load;
    if (service.capacityAfter >= service.capacityBefore) {
        return service;
    }
    if (service.instancesAfter == 0) {
        service.reason = fmt::format("{}: no serving instance would remain", name);
    } else if (unreported != nullptr) {
        service.reason
            = fmt::format("{}: the load of {}/{} is unknown", name, unreported->session->failure_domain(), unreported->session->instance());
    } else if (service.load > service.capacityAfter) {
        service.reason = fmt::format("{}: the present load is {} slots, but the {} remaining instances can carry {} by their weights",
                                     name,
                                     slotsText(service.load),
                                     service.instancesAfter,
                                     slotsText(service.capacityAfter));
    }
    service.fits = service.reason.empty();
    return service;
}

Result<LeavePlan> LeavePlan::compute(const View &view, std::span<const wire::RowEdit> edits, const LoadReports &loads)
{
    View after = view;
    for (const auto &it : edits) {
        BOOST_LEAF_CHECK(checkRowEdit(it));
        after.m_tables.putRow(mergedRow(after.row(keyOf(it.row())), it));
    }
    LeavePlan plan;
    for (const auto &name : view.services()) {
        if (!view.instancesOf(name).empty()) {
            plan.m_services.push_back(planService(name, view, after, loads));
        }
    }
    return plan;
}

bool LeavePlan::fits() const
{
    return std::all_of(m_services.begin(), m_services.end(), [](const Service &service) { return service.fits; });
}

Result<void> LeavePlan::check() const
{
    std::string reasons;
    for (const auto &it : m_services) {
        if (!it.fits) {
            reasons += reasons.empty() ? "" : "; ";
            reasons += it.reason;
        }
    }
    return reasons.empty() ? Result<void>() : Result<void>(fail(ErrorCode::Refused, reasons));
}

const std::vector<LeavePlan::Service> &LeavePlan::services() const
{
    return m_services;
}

} // namespace Toucandeck
