#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// Name of one incarnation of a backend server, unique over time.
/// @param startMs Start of its process in milliseconds since the Unix epoch.
/// @param presumedTerminations How often the gateway beside the backend server presumed a process terminated.
std::string incarnationName(std::string_view instance, std::int64_t startMs, int presumedTerminations);

/// True if @p a started after @p b. Both names must come from the same gateway: the address of its backend server is bound by one
/// process at a time, so @p b is then known to have terminated. False for names that cannot be parsed.
bool isLaterIncarnation(std::string_view a, std::string_view b);

/// True if both names are of backend servers with the same id.
bool haveSameId(std::string_view a, std::string_view b);

/// True if both names are of the same process, however often its termination was presumed.
bool isSameProcess(std::string_view a, std::string_view b);

} // namespace Toucandeck
