#pragma once

#include "common/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace Toucandeck::internal
{

/// UTC time as in RFC 3339, for example "2026-12-04T18:30:00Z"; with milliseconds only if there are any.
std::string wallTimeText(WallTime time);

/// Reads that form; years 1970 to 9999. Nothing if the text is malformed.
std::optional<WallTime> wallTimeFromText(std::string_view text);

} // namespace Toucandeck::internal
