#include "common/key_hash.h"

#include "common/assert.h"

#include <xxhash.h>

namespace Toucandeck
{

KeyHash hashKey(std::string_view key)
{
    return KeyHash{ XXH3_64bits(key.data(), key.size()) };
}

PartitionId partitionOf(KeyHash hash, std::uint32_t partitions)
{
    TOUCANDECK_ASSERT(partitions > 0, "a service divided by key has partitions");
    return PartitionId{ static_cast<std::uint32_t>(hash.value % partitions) };
}

} // namespace Toucandeck
