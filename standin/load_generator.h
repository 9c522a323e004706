#pragma once

#include "audit.h"
#include "layout.h"

#include "common/random_source.h"
#include "runtime/http_client.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucandeck::Standin
{

/// What the load generator sends.
struct LoadOptions
{
    std::vector<std::string> routers; ///< HTTP addresses; each attempt takes one at random.
    std::vector<LayoutService> services;
    double requestsPerSecond = 200;
    std::uint32_t keys = 16; ///< Distinct keys of each service divided by key.
    double submissionShare = 0.3; ///< Share of non-idempotent requests.
    double nestedShare = 0.2; ///< Share of requests that make the backend server call another service.
    double doubleSendShare = 0.05; ///< Share of submissions sent twice at once through two routers.
    std::uint32_t maxAttempts = 6; ///< Attempts of a submission without a known outcome.
    Duration deadline = std::chrono::seconds(2);
    Duration callerDelay{}; ///< One-way delay between a caller and the routers.
};

/// Open-loop load: look-ups by key, submissions with Idempotency-Key and look-ups between services. A submission without a known
/// outcome is resent with the same Idempotency-Key through another router. Keeps a record of every attempt for the audit.
class LoadGenerator
{
public:
    LoadGenerator(EventLoop &loop, LoadOptions options, RandomSource &random, Logger &logger);
    ~LoadGenerator();

    void start();
    /// Stops sending new requests; calls @p done when every request has its last answer.
    void stop(std::function<void()> done);

    std::uint64_t sent() const;
    /// Routers that new attempts may use.
    void setRouters(std::vector<std::string> routers);

    std::vector<CallerRecord> records() const;
    /// Latency of successful attempts, caller's delay included, at quantile @p q in [0, 1].
    Duration latencyQuantile(double q) const;

private:
    struct Request;
    using RequestPtr = std::shared_ptr<Request>;

    void sendDue();
    RequestPtr newRequest();
    const LayoutService &pickService(bool keyed);
    void sendAttempt(const RequestPtr &request);
    void transmit(const RequestPtr &request, std::size_t attempt);
    HttpRequest toHttp(const Request &request, std::size_t attempt) const;
    void takeAnswer(const RequestPtr &request, std::size_t attempt, const HttpResult &result);
    void attemptOver(const RequestPtr &request);
    bool wantsAnotherAttempt(const Request &request) const;
    void checkDone();
    std::int64_t nowNs() const;

    EventLoop &m_loop;
    LoadOptions m_options;
    RandomSource &m_random;
    HttpClient m_client;
    EventLoop::Watch m_timer;
    TimePoint m_startTime{};
    std::uint64_t m_sent = 0;
    std::uint64_t m_open = 0;
    bool m_stopping = false;
    std::function<void()> m_done;
    std::vector<RequestPtr> m_requests;
    std::string m_runId;
};

} // namespace Toucandeck::Standin
