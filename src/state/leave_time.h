#pragma once

#include "common/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace Toucandeck::internal
{

/// Formats a UTC time as in RFC 3339, for example "2026-12-04T18:30:00Z". Milliseconds are written only if they are not 0.
std::string formatWallTime(WallTime time);

/// Parses a UTC time in that form, with a year from 1970 to 9999. std::nullopt if the text is malformed.
std::optional<WallTime> parseWallTime(std::string_view text);

} // namespace Toucandeck::internal
