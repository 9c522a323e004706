#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// Name of one incarnation of a backend server, unique over time.
/// @param bornMs is the start of its process; @param presumedEnds counts how often the gateway beside it took it for ended.
std::string incarnationName(std::string_view instance, std::int64_t bornMs, int presumedEnds);

/// True if both names come from the same gateway and @p a began after @p b. The address of a backend server is bound by one process
/// at a time, so @p b has ended. False for names that cannot be read.
bool isLaterIncarnation(std::string_view a, std::string_view b);

} // namespace Toucandeck
