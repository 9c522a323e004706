#pragma once

#include "routing/key_extractor.h"

#include "common/result.h"
#include "common/time.h"

namespace Toucandeck
{

/// Request headers that toucandeck interprets. All are optional.
struct RequestHeaders
{
    /// Fails with InvalidArgument and a message that names the header and the value if one is malformed.
    static Result<RequestHeaders> parse(const HeaderLookup &headers);

    std::optional<std::chrono::milliseconds> deadline; ///< Toucandeck-Deadline-Ms: remaining time, 1 ms to 1 h.
    std::string idempotencyKey; ///< Idempotency-Key: 1 to 256 printable ASCII characters; empty if absent.
    std::optional<WallTime> firstSent; ///< Toucandeck-First-Sent-Ms, ms since the Unix epoch.
    unsigned depth = 0; ///< Toucandeck-Depth: number of calls this one is nested in, 0 to 3.
    std::string traceparent; ///< W3C trace context; empty if absent.
    bool statusCheck = false; ///< Toucandeck-Status-Check: yes. Only honoured in nested calls (depth 1 to 3).
};

/// Whether running the method twice has the effect of running it once (RFC 9110, 9.2.2).
bool isIdempotent(std::string_view method);

} // namespace Toucandeck
