#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace Toucandeck
{

/// Integer with a type of its own, so that one kind of id is not passed for another.
template<class Tag>
struct StrongId
{
    std::uint64_t value = 0;

    // clang-tidy 14 takes the literal 0 in the rewritten form of a comparison for a null pointer.
    auto operator<=>(const StrongId &) const = default; // NOLINT(modernize-use-nullptr)

    /// Zero means "none" for every kind of id.
    explicit operator bool() const
    {
        return value != 0;
    }
};

/// One incarnation of a router process, as registered with the controllers.
using SessionId = StrongId<struct SessionTag>;
/// Fencing token of a partition or hot key; only grows.
using Epoch = StrongId<struct EpochTag>;
/// Position in the replicated log; the first entry is 1.
using LogIndex = StrongId<struct LogIndexTag>;
/// Election term of the replicated log.
using Term = StrongId<struct TermTag>;
/// Identity of one controller's data folder.
using ReplicaId = StrongId<struct ReplicaTag>;
/// Version of a table row: log index of its last change.
using Revision = StrongId<struct RevisionTag>;
/// XXH3-64 of a key.
using KeyHash = StrongId<struct KeyHashTag>;

/// Partition of a service, from 0 to the service's number of partitions - 1.
struct PartitionId
{
    std::uint32_t value = 0;
    auto operator<=>(const PartitionId &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace Toucandeck

template<class Tag>
struct std::hash<Toucandeck::StrongId<Tag>>
{
    std::size_t operator()(const Toucandeck::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.value);
    }
};

template<>
struct std::hash<Toucandeck::PartitionId>
{
    std::size_t operator()(const Toucandeck::PartitionId &id) const noexcept
    {
        return std::hash<std::uint32_t>()(id.value);
    }
};
