#pragma once

#include "common/result.h"
#include "common/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Toucandeck
{

/// Maximum nesting depth. A call at this depth makes no further calls.
constexpr unsigned kMaxDepth = 3;

/// A request that asks for a slot of the backend server.
struct AdmissionRequest
{
    std::uint64_t id = 0; ///< Chosen by the user of the controller; unique among its queued and running requests.
    unsigned depth = 0; ///< Number of calls this one is nested in, at most kMaxDepth.
    TimePoint deadline;
    bool nested = false; ///< Sent by a backend server, not by a caller.
    /// A status check makes no further calls and may use every slot. It is started or refused at once, or queued only until a
    /// connection can be used.
    bool statusCheck = false;
};

/// The request must be sent to the backend server now.
struct Start
{
    std::uint64_t id = 0;
    bool openConnection = false; ///< True: open a new connection for it; false: use an idle one.
};

/// The request is queued; poll() will return its start or refusal.
struct Queued
{
};

/// The request was not sent and will not be.
struct Refusal
{
    std::uint64_t id = 0;
    ErrorCode code = ErrorCode::Overloaded;
    std::string message;
    Duration retryAfter{}; ///< With jitter, so that refused callers do not all retry at once.
    Verdict verdict = Verdict::NotRun;
};

using Decision = std::variant<Start, Queued, Refusal>;

/// Queued requests to start or refuse now.
struct PollResult
{
    std::vector<Start> starts;
    std::vector<Refusal> refusals;
};

/// How a started request ended for the router.
enum class AnswerKind {
    Ok, ///< The backend server answered with any status that does not mean shedding.
    Shed, ///< The backend server rejected the request for lack of capacity (status 429 or 503).
    Failed, ///< The connection failed or the deadline passed.
    Cancelled, ///< The router closed the connection.
};

struct Outcome
{
    AnswerKind kind = AnswerKind::Ok;
    Duration latency{}; ///< From the start until the complete answer was received.
    bool connectionKept = true; ///< False: the connection was closed.
};

} // namespace Toucandeck
