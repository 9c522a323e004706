#pragma once

#include "common/time.h"
#include "state/wire_namespace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// Settings of an instance after inheritance. A number comes from the most specific row that sets it, in the order instance, service
/// with failure domain, service, failure domain, built-in default. The state is the most restrictive one of these rows, the leave
/// time the earliest.
struct EffectiveRow
{
    std::uint32_t weight = 100;
    std::uint32_t slots = 9; ///< Slots of an instance in the deployments of design section 1.
    std::uint32_t connections = 110; ///< The lower value of those two deployments.
    bool slotsFromTable = false; ///< If false, the number announced by the backend server applies instead of the default.
    bool connectionsFromTable = false; ///< As slotsFromTable.
    wire::RowState state = wire::SERVING;
    std::optional<WallTime> leaveTime;

    bool operator==(const EffectiveRow &) const = default;

    /// The state at a point in time: a serving instance is leaving from its leave time on.
    wire::RowState stateAt(WallTime now) const
    {
        return state == wire::SERVING && leaveTime && *leaveTime <= now ? wire::LEAVING : state;
    }
};

/// Part of a request that holds its key.
enum class KeySource {
    None, ///< The service is not partitioned by key.
    Segment, ///< A segment of the path.
    Header, ///< A request header.
};

/// Settings of a service, from its row "service/*/*". A service without a row is not partitioned by key.
struct ServiceSettings
{
    KeySource keySource = KeySource::None;
    std::uint32_t segment = 0; ///< Number of the segment, the N of "segment:N"; only with KeySource::Segment.
    std::string header; ///< Name of the header; only with KeySource::Header.
    std::uint32_t partitions = 0; ///< 0 unless partitioned by key.
    bool fenced = false; ///< The backend servers check grants.

    bool operator==(const ServiceSettings &) const = default;

    bool isPartitionedByKey() const
    {
        return keySource != KeySource::None;
    }
};

/// Number of partitions of a service whose row sets a key but no number.
constexpr std::uint32_t defaultPartitions = 256;
/// Highest permitted number of partitions of a service.
constexpr std::uint32_t maxPartitions = 65'536;

/// Parses the column "key" ("none", "segment:N" or "header:NAME") into keySource, segment and header. std::nullopt if it is malformed.
std::optional<ServiceSettings> parseKeyColumn(std::string_view text);

/// Settings in a service row. A malformed key counts as "none".
ServiceSettings serviceSettingsOf(const wire::TableRow &serviceRow);

} // namespace Toucandeck
