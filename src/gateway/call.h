#pragma once

#include "common/time.h"
#include "runtime/http_message.h"

#include <functional>
#include <optional>
#include <peer.pb.h>
#include <string>
#include <string_view>
#include <vector>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// A request that is forwarded to a backend server.
struct Call
{
    std::string service;
    std::string requestId;
    HttpRequest request; ///< As the backend server receives it, without the headers that the gateway on its VM adds.
    TimePoint deadline; ///< Set by the caller.
    TimePoint targetTime; ///< Latency target; a later answer has less value.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    bool idempotent = false;
    bool nested = false; ///< Sent by a backend server while it runs another request.
    std::uint32_t siblingAnswers = 0; ///< Of a nested call: number of earlier calls of the same request that were answered.
    bool clientRetry = false; ///< The client retries after an attempt without success.
    std::optional<std::uint32_t> key; ///< Below kKeyCount.
    std::string entry; ///< IP address of the gateway that sent the call; empty if it is this one. Not sent to other gateways.
    Duration maxWait{}; ///< Refused with BUSY if the expected queueing delay is longer; zero is no limit.
};

/// Origin of a call.
enum class CallOrigin {
    Client,
    ClientRetry,
    Nested,
};

inline constexpr std::size_t kCallOriginCount = 3;

CallOrigin originOf(const Call &call);
/// "client", "client_retry" or "nested".
std::string_view toString(CallOrigin origin);

/// Load of a backend server as another gateway knows it.
struct PeerReport
{
    std::string gateway; ///< IP address of the gateway beside it.
    wire::LoadReport load;
    Duration age{};
};

/// Outcome of a call.
struct CallResult
{
    wire::CallOutcome outcome = wire::NOT_RUN;
    wire::CallReason reason = wire::NONE;
    Duration retryAfter{}; ///< Of a refused call: time until a slot is expected to be free.
    HttpResponse response; ///< Response of the backend server, if the call was answered.
    std::string instance; ///< Id of the backend server that the call was sent to or meant for.
    bool reachedBackend = false; ///< The call was sent to a backend server.
    double slownessPercent = 0; ///< Slowness of its machine as reported with the answer; zero if not reported. Not sent to other gateways.
    wire::LoadReport load; ///< Load of that backend server.
    Duration work{}; ///< Time for which the backend server worked on the call at its usual speed, without nested calls; zero if unknown.
    Duration elapsed{}; ///< Time from the arrival of the call at the other gateway to its reply; zero if unknown.
    std::vector<PeerReport> peers; ///< Loads of other backend servers of the service.
};

using CallDone = std::function<void(CallResult)>;

/// Result of a call that was not run.
CallResult notRun(wire::CallReason reason, Duration retryAfter = {});

/// @param now is the time from which the transmitted durations count.
wire::CallRequest toWire(const Call &call, TimePoint now);
Call fromWire(const wire::CallRequest &request, TimePoint now);
wire::CallReply toWire(const CallResult &result);
CallResult fromWire(const wire::CallReply &reply);
/// Adds a report that a reply passes on.
void addTo(wire::CallReply &reply, const PeerReport &report);

} // namespace Toucandeck
