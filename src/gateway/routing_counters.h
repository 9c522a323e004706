#pragma once

#include "common/time.h"

#include <cstdint>
#include <optional>

namespace Toucandeck
{

/// Counters of the selections of a call router since its start.
struct RoutingCounters
{
    std::uint64_t selections = 0; ///< Gateways selected for calls that any backend server of a service can run.
    std::uint64_t withoutReport = 0; ///< Of these, selected without any report of the load.
    Duration reportAges{}; ///< Sum of the ages of the reports used.
    std::uint64_t redirected = 0; ///< Attempts that were refused because another backend server is expected to be faster.

    /// @param reportAge of the report that was used; none without a report.
    void recordSelection(std::optional<Duration> reportAge)
    {
        ++selections;
        withoutReport += reportAge ? 0 : 1;
        reportAges += reportAge.value_or(Duration::zero());
    }
};

} // namespace Toucandeck
