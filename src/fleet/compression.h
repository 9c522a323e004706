#pragma once

#include "common/result.h"

#include <string>
#include <string_view>

namespace Toucandeck
{

/// Returns a zlib stream of @p data.
std::string compress(std::string_view data);

/// Returns the data of a zlib stream. Errors: Corrupt (not exactly one complete stream), Refused (more than @p maxBytes of data).
Result<std::string> decompress(std::string_view stream, std::size_t maxBytes);

} // namespace Toucandeck
