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

/// Identifies a request that must run at most once.
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
    /// Identifies this delivery of the request; returned when the running request that it waits for ends.
    std::uint64_t waiter = 0;
    /// Wall time of the earliest attempt without a known outcome, from Toucandeck-First-Sent-Ms.
    std::optional<WallTime> firstSent;
    /// A request first sent at or before this wall time, or without a usable first-sent time, may have run at a lost owner; see
    /// outcomeUnknownUntilAfterCrash(). Epoch: no owner was lost.
    WallTime outcomeUnknownUntil{};
};

/// Complete answer of the backend server.
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
        // The key hash is uniform; the idempotency key distinguishes requests for the same hot key.
        return id.keyHash.value ^ std::hash<std::string>()(id.idempotencyKey) ^ (std::hash<std::string>()(id.service) << 1U);
    }
};
