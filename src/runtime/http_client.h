#pragma once

#include "common/result.h"
#include "log/logger.h"
#include "runtime/byte_budget.h"
#include "runtime/event_loop.h"
#include "runtime/http_message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Toucandeck
{

namespace internal
{
class HttpClientConnection;
} // namespace internal

/// Outcome of one HTTP request.
struct HttpResult
{
    std::optional<HttpResponse> response; ///< Empty if no complete response arrived.
    /// Ran if there is a response. Otherwise NotRun if no byte of the request was written, else MayHaveRun.
    Verdict verdict = Verdict::NotRun;
    ErrorCode code = ErrorCode::Unavailable; ///< If there is no response: Unavailable, Overloaded or DeadlineExceeded.
    std::string error; ///< If there is no response: human-readable error message.
    bool connectionKept = false; ///< The connection is open and may carry another request.
};

struct HttpClientOptions
{
    std::size_t maxConnections = 128; ///< Limit per target. A request beyond it fails with Overloaded and NotRun.
    Duration connectTimeout = std::chrono::milliseconds(1000);
    /// Idle time after which a connection is closed. Shorter than the servers' idle timeout, so that servers rarely close one first.
    Duration idleClose = std::chrono::seconds(20);
    std::size_t maxHeaderBytes = 64U << 10U; ///< A response with more bytes outside of its body fails the request.
    std::size_t maxBodyBytes = 8U << 20U; ///< A larger response fails the request.
    /// Limit on the bodies of all incomplete responses together. The request whose response exceeds it fails.
    std::size_t maxTotalBodyBytes = 64U << 20U;
};

/// HTTP/1.1 client with persistent connections per target ("IP:PORT"), one request at a time on each.
/// Requests are never resent: if the connection fails after the first byte was written, the request fails with MayHaveRun.
/// A connection is closed after a response with the verdict not-run, so that a repeated refusal cannot count for another request.
class HttpClient
{
public:
    using Handler = std::function<void(HttpResult)>;
    using RequestId = std::uint64_t;

    HttpClient(EventLoop &loop, HttpClientOptions options, Logger &logger);
    /// Cancels all requests without calling their handlers.
    ~HttpClient();

    /// Sends the request; Host and Content-Length are set. @p handler is called exactly once, never from within this call.
    /// @p timeout covers connecting, writing the request and reading the complete response.
    RequestId send(const std::string &target, HttpRequest request, Duration timeout, Handler handler);
    /// Closes the connection of the request; its handler is not called. True if the request may have been written.
    bool cancel(RequestId id);

    std::size_t connections(const std::string &target) const;
    std::size_t idleConnections(const std::string &target) const;
    /// Closes up to @p n idle connections, the longest idle first.
    void closeIdle(const std::string &target, std::size_t n);
    std::size_t inFlight() const;
    /// Number of persistent connections found closed before reuse.
    std::uint64_t staleConnections() const;
    /// Changes the limit on connections per target.
    void setMaxConnections(std::size_t n);

private:
    struct Pool;
    struct Active
    {
        Pool *pool = nullptr;
        internal::HttpClientConnection *connection = nullptr;
        Handler handler;
    };

    Pool *poolFor(const std::string &target);
    internal::HttpClientConnection *takeIdle(Pool &pool);
    void discard(Pool &pool, internal::HttpClientConnection *connection);
    void onFinished(RequestId id, HttpResult result);
    void failSoon(RequestId id, Handler handler, ErrorCode code, std::string error);
    void deliverSoon(RequestId id, Handler handler, HttpResult result);
    void closeLongIdle();

    EventLoop &m_loop;
    HttpClientOptions m_options;
    Logger &m_logger;
    internal::ByteBudget m_bodyBudget;
    RequestId m_nextId = 1;
    RequestId m_startingRequest = 0; ///< Request whose send() is in progress.
    std::uint64_t m_staleConnections = 0;
    std::map<std::string, std::unique_ptr<Pool>> m_pools;
    std::unordered_map<RequestId, Active> m_active;
    /// Handlers of requests that ended within send(), to be called in the next iteration.
    std::unordered_map<RequestId, Handler> m_deferredHandlers;
    EventLoop::Watch m_idleTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Toucandeck
