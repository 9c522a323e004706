#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck
{

/// Names one piece of work that must run at most once.
struct IdempotencyId
{
    std::string service;
    KeyHash keyHash;
    std::string idempotencyKey;

    bool operator==(const IdempotencyId &) const = default;
};

struct IdempotencyRequest
{
    IdempotencyId id;
    PartitionId partition;
    /// Identifies this delivery of the request; returned when the running one ends.
    std::uint64_t waiter = 0;
    /// Wall time of the earliest attempt without a known outcome, from Toucandeck-First-Sent-Ms.
    std::optional<WallTime> firstSent;
    /// What was first sent before this wall time may have run at a lost owner; see unknownBeforeAfterCrash(). Epoch: none.
    WallTime unknownBefore{};
};

/// The whole answer of the backend server.
struct StoredAnswer
{
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

} // namespace Toucandeck

template<>
struct std::hash<Toucandeck::IdempotencyId>
{
    std::size_t operator()(const Toucandeck::IdempotencyId &id) const noexcept
    {
        // The key hash is uniform; the idempotency key separates requests for a hot key.
        return id.keyHash.value ^ std::hash<std::string>()(id.idempotencyKey) ^ (std::hash<std::string>()(id.service) << 1U);
    }
};
