#pragma once

#include "common/result.h"
#include "common/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Toucandeck
{

/// Deepest nested call. A call at this depth makes no further calls.
constexpr unsigned kMaxDepth = 3;

/// A request that asks for a slot of the backend server.
struct Offer
{
    std::uint64_t id = 0; ///< Chosen by the caller of the controller; not in use by another request.
    unsigned depth = 0; ///< Number of calls this one is nested in, at most kMaxDepth.
    TimePoint deadline;
    bool nested = false; ///< Sent by a backend server, not by a caller.
    /// Makes no further calls and may use every slot. Started or refused at once; it waits only for the opening of a connection.
    bool statusCheck = false;
};

/// The request must be sent to the backend server now.
struct Start
{
    std::uint64_t id = 0;
    bool openConnection = false; ///< True: open a new connection for it; false: use an idle one.
};

/// The request waits; poll() will return its start or refusal.
struct Queued
{
};

/// The request was not sent and will not be.
struct Refusal
{
    std::uint64_t id = 0;
    ErrorCode code = ErrorCode::Overloaded;
    std::string message;
    Duration retryAfter{}; ///< With jitter, so that refused callers do not return all at once.
    Verdict verdict = Verdict::NotRun;
};

using Decision = std::variant<Start, Queued, Refusal>;

/// Queued requests that start or are refused now.
struct PollResult
{
    std::vector<Start> starts;
    std::vector<Refusal> refusals;
};

/// How a started request ended, as seen by the router.
enum class AnswerKind {
    Ok, ///< The backend server answered, whatever the status, but did not shed.
    Shed, ///< The backend server refused for lack of capacity (status 429 or 503).
    Failed, ///< The connection broke or the deadline passed.
    Cancelled, ///< The router closed the connection.
};

struct Outcome
{
    AnswerKind kind = AnswerKind::Ok;
    Duration latency{}; ///< From the start until the whole answer was there.
    bool connectionKept = true; ///< False: the connection was closed.
};

} // namespace Toucandeck
