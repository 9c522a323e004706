#pragma once

#include "common/ids.h"

#include <string_view>

namespace Toucandeck
{

/// XXH3-64 of the key's bytes.
KeyHash hashKey(std::string_view key);

/// Partition that holds the key. @p partitions must be positive.
PartitionId partitionOf(KeyHash hash, std::uint32_t partitions);

} // namespace Toucandeck
