#pragma once

#include "gateway/backend_admission.h"
#include "gateway/call_router.h"
#include "gateway/header_names.h"
#include "gateway/parent_requests.h"
#include "gateway/retry_detector.h"
#include "http/pipelined_server.h"
#include "manifest/weighted_round_robin.h"
#include "runtime/metrics.h"

#include <memory>
#include <set>

namespace Toucandeck
{

/// Dependencies of a client request handler. All must outlive it.
struct ClientRequestHandlerParts
{
    EventLoop &loop;
    Logger &logger;
    RandomSource &random;
    Metrics &metrics;
    const HeaderNames &headers;
    const FleetView &view;
    BackendAdmission &admission;
    CallRouter &router;
    ParentRequests *parents = nullptr; ///< None if nested calls are independent.
};

/// Handles the requests of clients and of the backend server on this VM: finds their route, forwards and answers them.
class ClientRequestHandler
{
public:
    /// @param callerService yields the service on this VM.
    ClientRequestHandler(const ClientRequestHandlerParts &parts, std::function<std::string()> callerService);

    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /// All requests get their final answer by this time, also those in progress: the gateway ends soon after it.
    void setAnswerLimit(TimePoint limit);

    /// Forgets what is kept for routes that are not in the manifest.
    void onManifestChanged(const Manifest &manifest);

    /// Refuses all new requests from now on, since the gateway would stop before their answer.
    void refuseNewRequests();

    /// Number of requests without an answer.
    std::size_t pendingCount() const;
    /// Number of retries that came before their time and waited.
    std::uint64_t heldRetries() const;
    /// Number of split routes whose shares are kept.
    std::size_t splitCount() const;

private:
    struct PendingRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        const Route *route = nullptr;
        std::shared_ptr<const LoadedManifest> manifest; ///< Owns the route.
        std::string service; ///< Target of the route that was selected for the request.
        std::string requestId;
        TimePoint receivedAt;
        TimePoint deadline;
        Duration clientDeadline{}; ///< Time that the client waits for its answer, as it says; zero if it does not say.
        std::string parent; ///< Id of the running request that this nested call belongs to; empty if a client sent it.
        ClientAttempt attempt; ///< For the recognition of its retry, if the client says how long it waits.
        std::uint64_t callId = 0; ///< Id at the call router; zero if no call is pending.
        bool shortened = false; ///< A nested call with less than half of its own time, because its parent has not more.
        EventLoop::Watch timer;
        EventLoop::Watch holdTimer; ///< Active while a retry that came before its time waits.
    };

    using RequestPtr = std::shared_ptr<PendingRequest>;

    void reject(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &reason);
    Call makeCall(PendingRequest &pending, const HttpRequest &request);
    /// Id of the request that the backend server on this VM runs and that sent this one; empty if a client sent it.
    std::string_view parentOf(const std::string &requestId) const;
    HttpHeaders forwardedHeaders(const HttpRequest &request) const;
    /// Gives a nested call the urgency and the deadline of its parent.
    void passOnParent(std::string_view parent, PendingRequest &pending, Call &call);
    /// True if the request is a retry before the time that its client was told.
    bool isEarlyRetry(const PendingRequest &it, const Call &call) const;
    /// Sends an early retry at the time that its client was told, or refuses it if its deadline is not later.
    void hold(const RequestPtr &it, Call call);
    void send(const RequestPtr &it, Call call);
    void onNestedResult(const PendingRequest &it, const RoutedResult &result);
    void onResult(const RequestPtr &it, RoutedResult result);
    void answer(const RequestPtr &it, RoutedResult result);
    void refuse(const RequestPtr &it, const RoutedResult &result);
    void failRequest(const RequestPtr &it, const RoutedResult &result, int status);
    void onAnswerTimeout(const RequestPtr &it);
    void onClientDisconnected(const RequestPtr &it);
    void respond(const RequestPtr &it, HttpResponse response, const char *outcome);
    /// Removes a request that is answered or whose client has disconnected.
    void remove(const RequestPtr &it);
    /// Starts the timer after which the request fails without an answer of a backend server.
    void startTimer(const RequestPtr &it);
    /// Sets what identifies the attempts of this client, which waits for @p wait, and the time of its first one.
    /// @return true if the request is a retry.
    bool detectRetry(PendingRequest &pending, const HttpRequest &request, Duration wait);
    /// Remembers an attempt that ended without success, so that its client's retry is recognised.
    void rememberFailure(const PendingRequest &it);
    Duration sinceFirstAttempt(const PendingRequest &it) const;
    /// Time after which a refused client should retry.
    Duration retryDelay(Duration hint, Duration left);

    ClientRequestHandlerParts m_parts;
    std::function<std::string()> m_callerService;
    WeightedRoundRobin m_split;
    RetryDetector m_retryDetector;
    std::set<RequestPtr> m_pending;
    TimePoint m_answerLimit = TimePoint::max();
    bool m_refusesNewRequests = false;
    std::uint64_t m_heldRetries = 0;
    prometheus::Histogram &m_latency;
};

} // namespace Toucandeck
