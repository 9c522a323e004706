#pragma once

#include "common/time.h"
#include "fleet/key_rows.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Toucandeck
{

/// Grants keys to the backend server on this VM, or renews the grant.
struct GrantCall
{
    KeyRange range;
    std::uint64_t fencingToken = 0;
    Duration holdTime{}; ///< Validity of the grant, counted from the arrival of the call.
    std::string handover; ///< Token of the previous holder; may be empty.
};

/// Takes keys back from the backend server on this VM.
struct ReleaseCall
{
    KeyRange range;
    std::uint64_t fencingToken = 0;
};

/// What is known of a call that grants keys or takes them back.
enum class GrantOutcome {
    Accepted, ///< The backend server has applied the call.
    HigherTokenSeen, ///< Not applied: the backend server has seen a higher fencing token for one of the keys.
    Rejected, ///< Not applied: the backend server considers the call invalid.
    Unanswered, ///< The call may have been applied, or may yet be applied.
    NotSent, ///< The call was not sent.
};

/// Name of the outcome as it appears in a log line.
const char *toString(GrantOutcome outcome);

/// Calls to the backend server about the keys that it holds.
class GrantPort
{
public:
    using GrantDone = std::function<void(GrantOutcome)>;
    /// Receives the outcome and, if the call was accepted, the token for the next holder.
    using ReleaseDone = std::function<void(GrantOutcome, std::string handover)>;

    virtual ~GrantPort() = default;

    /// Call it when a heartbeat of the present process of the backend server has arrived, or later with the time of its arrival.
    virtual void onHeartbeat(TimePoint arrival) = 0;
    /// Call it when the process has terminated, also if another one has got its address.
    virtual void onProcessEnded() = 0;

    /// Sends the call now or not at all. @p done is called once, after this returns.
    virtual void grant(const GrantCall &call, GrantDone done) = 0;

    /// As grant(). The backend server answers once its work on the keys has ended.
    virtual void release(const ReleaseCall &call, ReleaseDone done) = 0;
};

} // namespace Toucandeck
