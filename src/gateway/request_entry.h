#pragma once

#include "gateway/call_router.h"
#include "gateway/gate.h"
#include "gateway/header_names.h"
#include "http/pipelined_server.h"
#include "runtime/metrics.h"

#include <memory>
#include <unordered_map>

namespace Toucandeck
{

/// Learns from the deadlines that clients send how long ago their first attempt was: a client that comes back has less time left.
class AttemptAge
{
public:
    /// Time since the client's first attempt, as far as the deadline tells.
    Duration of(const std::string &route, Duration deadline);

private:
    std::unordered_map<std::string, Duration> m_longest; ///< Longest deadline seen, by route.
};

/// What the entry of requests needs. All must outlive it.
struct RequestEntryParts
{
    EventLoop &loop;
    Logger &logger;
    RandomSource &random;
    Metrics &metrics;
    const HeaderNames &headers;
    const FleetView &view;
    const Gate &gate;
    CallRouter &router;
};

/// Takes requests of clients and backend servers on this VM, finds their route, and answers them.
class RequestEntry
{
public:
    /// @param callerService yields the service on this VM.
    RequestEntry(const RequestEntryParts &parts, std::function<std::string()> callerService);

    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /// From now on each new request is refused at once: the gateway would end before its answer.
    void refuseNew();

    std::size_t pending() const;

private:
    struct Pending
    {
        std::shared_ptr<HttpExchange> exchange;
        const Route *route = nullptr;
        std::shared_ptr<const LoadedManifest> manifest; ///< Keeps the route.
        std::string requestId;
        TimePoint received;
        TimePoint deadline;
        std::uint64_t routed = 0;
        EventLoop::Watch timer;
    };

    using Entry = std::shared_ptr<Pending>;

    void reject(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &reason);
    Call makeCall(const Pending &pending, const HttpRequest &request);
    bool isNested(const std::string &requestId) const;
    HttpHeaders forwardedHeaders(const HttpRequest &request) const;
    void onResult(const Entry &it, RoutedResult result);
    void answer(const Entry &it, RoutedResult result);
    void refuse(const Entry &it, const RoutedResult &result);
    void failRequest(const Entry &it, const RoutedResult &result, int status);
    void giveUp(const Entry &it);
    void abandon(const Entry &it);
    void respond(const Entry &it, HttpResponse response, const char *outcome);
    Duration returnTime(Duration hint, Duration left);

    RequestEntryParts m_parts;
    std::function<std::string()> m_callerService;
    SplitCounter m_split;
    AttemptAge m_ages;
    std::set<Entry> m_pending;
    bool m_refusing = false;
    prometheus::Histogram &m_latency;
};

} // namespace Toucandeck
