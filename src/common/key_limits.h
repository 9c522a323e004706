#pragma once

#include <cstddef>

namespace Toucandeck
{

/// Highest number of a path segment that can hold the key of a request.
constexpr unsigned kMaxKeySegment = 63;

/// Maximum length of the name of a header that holds the key of a request.
constexpr std::size_t kMaxKeyHeaderLength = 100;

} // namespace Toucandeck
