#pragma once

#include "common/time.h"
#include "state/wire_namespace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// Settings of an instance after inheritance. Numbers: the most specific row wins, in the order instance, service with failure
/// domain, service, failure domain, built-in default. State: the most restrictive of all rows. Leave time: the earliest.
struct EffectiveRow
{
    std::uint32_t weight = 100;
    std::uint32_t slots = 9; ///< Of an instance in the deployments of design section 1.
    std::uint32_t connections = 110; ///< The lower figure of the two deployments.
    bool slotsFromTable = false; ///< False: built-in default, and the backend server's announcement applies.
    bool connectionsFromTable = false;
    wire::RowState state = wire::SERVING;
    std::optional<WallTime> leaveTime;

    bool operator==(const EffectiveRow &) const = default;

    /// The state with the leave time taken into account: from that time on a serving instance is leaving.
    wire::RowState stateAt(WallTime now) const
    {
        return state == wire::SERVING && leaveTime && *leaveTime <= now ? wire::LEAVING : state;
    }
};

/// How the key of a request is found.
enum class KeySource {
    None, ///< The service is not divided by key.
    Segment, ///< A segment of the path.
    Header,
};

/// Settings of a service, from its row "service/*/*". A service without a row is not divided by key.
struct ServiceSettings
{
    KeySource keySource = KeySource::None;
    std::uint32_t segment = 0; ///< With KeySource::Segment, the N of "segment:N".
    std::string header; ///< With KeySource::Header.
    std::uint32_t partitions = 0; ///< 0 unless divided by key.
    bool fenced = false; ///< The backend servers check grants.

    bool operator==(const ServiceSettings &) const = default;

    bool isDividedByKey() const
    {
        return keySource != KeySource::None;
    }
};

constexpr std::uint32_t defaultPartitions = 256;
constexpr std::uint32_t maxPartitions = 65'536;

/// Reads the column "key" ("none", "segment:N" or "header:NAME") into keySource, segment and header. Nothing if it is malformed.
std::optional<ServiceSettings> parseKeyColumn(std::string_view text);

/// Reads the settings out of a service row. A malformed key counts as "none".
ServiceSettings settingsOf(const wire::TableRow &serviceRow);

} // namespace Toucandeck
