#include "gateway/backend_runner.h"

#include "gateway/events.h"
#include "routing/response_meaning.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A persistent connection is reused only during this share of the backend server's idle limit: a request sent while the backend server
/// closes the connection may have run.
constexpr double kIdleShare = 0.6;
constexpr std::size_t kMaxResponseMemory = 32U << 20U; ///< Bytes, of all responses in progress.
constexpr milliseconds kMinDeadline{ 1 };

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// Slowness in per cent, the last of four numbers separated by commas; zero if there are fewer.
double readSlowness(std::optional<std::string_view> load)
{
    constexpr int kFieldsBefore = 3;
    std::string_view rest = load.value_or(std::string_view());
    for (int i = 0; i < kFieldsBefore; ++i) {
        const auto comma = rest.find(',');
        if (comma == std::string_view::npos) {
            return 0;
        }
        rest.remove_prefix(comma + 1);
    }
    unsigned percent = 0;
    const auto [end, ec] = std::from_chars(rest.data(), rest.data() + rest.size(), percent);
    return ec == std::errc() ? percent : 0;
}

} // namespace

BackendRunner::BackendRunner(EventLoop &loop, Logger &logger, const HeaderNames &headers, const SocketAddress &address)
    : m_loop(loop)
    , m_logger(logger)
    , m_headers(headers)
    , m_address(address)
    , m_responseMemory(loop, kMaxResponseMemory)
{
}

void BackendRunner::setInstance(std::string instance)
{
    m_instance = std::move(instance);
}

void BackendRunner::setConnectionRefusedHandler(ConnectionRefusedHandler handler)
{
    m_connectionRefusedHandler = std::move(handler);
}

BackendRunner::Connection BackendRunner::takeIdle(const std::string &requestId)
{
    const auto now = m_loop.clock().now();
    m_idleConnections.remove_if(
        [now](const auto &it) { return !it->isReusable() || now - it->idleSince() >= it->idleTimeout() * kIdleShare; });
    const auto found = std::find_if(
        m_idleConnections.begin(), m_idleConnections.end(), [&requestId](const auto &it) { return it->mayCarry(requestId); });
    if (found == m_idleConnections.end()) {
        return nullptr;
    }
    auto connection = std::move(*found);
    m_idleConnections.erase(found);
    return connection;
}

void BackendRunner::run(std::uint64_t id, const Call &call, CallDone done)
{
    auto connection = takeIdle(call.requestId);
    if (!connection) {
        connection = std::make_unique<BackendConnection>(m_loop, m_address, m_headers.requestId, &m_responseMemory);
        ++m_openedConnections;
    }
    auto *it = connection.get();
    m_busyConnections[id] = std::move(connection);
    it->send(backendRequest(call),
             call.requestId,
             [this, id, request = SentRequest{ call.requestId, call.idempotent }, done = std::move(done)](BackendResult result) {
                 finish(id, request, std::move(result), done);
             });
}

HttpRequest BackendRunner::backendRequest(const Call &call) const
{
    auto request = call.request;
    const auto left = std::max(duration_cast<milliseconds>(call.deadline - m_loop.clock().now()), kMinDeadline);
    setHeader(request.headers, m_headers.deadlineMs, std::to_string(left.count()));
    if (!m_instance.empty()) {
        setHeader(request.headers, m_headers.expectedInstance, m_instance);
    }
    return request;
}

void BackendRunner::finish(std::uint64_t id, const SentRequest &request, BackendResult result, const CallDone &done)
{
    const auto found = m_busyConnections.find(id);
    auto connection = std::move(found->second);
    m_busyConnections.erase(found);
    const bool refused = result.error == BackendError::Refused;
    logDropped(request.id, result);
    const bool namesRequest = result.response.header(m_headers.requestId).has_value();
    auto interpreted = interpret(request, std::move(result));
    release(std::move(connection), request.id, interpreted, namesRequest);
    const auto callback = done;
    callback(std::move(interpreted));
    if (refused && m_connectionRefusedHandler) {
        m_connectionRefusedHandler();
    }
}

void BackendRunner::release(Connection connection, const std::string &requestId, const CallResult &result, bool namesRequest)
{
    if (result.reason == wire::REFUSED_BY_INSTANCE) {
        connection->excludeRequestId(requestId);
    }
    const bool sound = result.outcome != wire::MAY_HAVE_RUN || result.reason == wire::UNCONFIRMED_REFUSAL;
    // Without an id, the next response on the connection could not be told from a late copy of this one.
    if (connection->isReusable() && namesRequest && sound) {
        m_idleConnections.push_front(std::move(connection));
    } else {
        // Destroyed later, since the connection's own code is calling this function.
        m_loop.runSoon([closing = std::shared_ptr<BackendConnection>(std::move(connection))] {});
    }
}

void BackendRunner::logDropped(const std::string &requestId, const BackendResult &result) const
{
    if (result.droppedResponses == 0) {
        return;
    }
    m_logger.write(GatewayEvents::kResponseDropped,
                   { field("request", requestId),
                     field("instance", m_instance),
                     field("named", result.droppedId),
                     field("count", result.droppedResponses) });
}

CallResult BackendRunner::interpret(const SentRequest &request, BackendResult result) const
{
    CallResult out;
    switch (result.error) {
    case BackendError::None:
        out = interpretAnswer(request, std::move(result));
        break;
    case BackendError::Refused:
    case BackendError::ConnectFailed:
        out = notRun(wire::CONNECT_FAILED);
        break;
    case BackendError::ConnectionLost:
        out.outcome = wire::MAY_HAVE_RUN;
        out.reason = wire::CONNECTION_LOST;
        out.reachedBackend = true;
        break;
    case BackendError::InvalidResponse:
        out = rejectAnswer(request.id, result.response, toString(result.fault));
        break;
    }
    out.instance = m_instance;
    return out;
}

CallResult
BackendRunner::rejectAnswer(const std::string &requestId, const HttpResponse &response, const char *cause, wire::CallReason reason) const
{
    m_logger.write(GatewayEvents::kResponseRejected,
                   { field("request", requestId),
                     field("instance", m_instance),
                     field("cause", cause),
                     field("status", response.status),
                     field("named", response.header(m_headers.requestId).value_or("")) });
    CallResult out;
    out.outcome = wire::MAY_HAVE_RUN;
    out.reason = reason;
    out.reachedBackend = true;
    return out;
}

CallResult BackendRunner::interpretAnswer(const SentRequest &request, BackendResult result) const
{
    auto &response = result.response;
    CallResult out;
    out.reachedBackend = true;
    const auto meaning = meaningOf(response.status, response.header(m_headers.notExecuted).has_value(), request.idempotent);
    if (meaning == ResponseMeaning::NotRun) {
        if (!result.identified) {
            return rejectAnswer(request.id, response, "refusal_of_unknown_request");
        }
        out.outcome = wire::NOT_RUN;
        out.reason = wire::REFUSED_BY_INSTANCE;
        out.response.status = response.status;
        return out;
    }
    const auto echoed = response.header(m_headers.requestId);
    if (echoed && *echoed != request.id) {
        return rejectAnswer(request.id, response, "other_request");
    }
    if (!result.identified) {
        return rejectAnswer(request.id, response, "unknown_request");
    }
    if (isSuccess(response.status) && !response.header(m_headers.answerSeal)) {
        return rejectAnswer(request.id, response, "no_seal");
    }
    if (meaning == ResponseMeaning::MayHaveRun) {
        return rejectAnswer(request.id, response, "unconfirmed_refusal", wire::UNCONFIRMED_REFUSAL);
    }
    out.outcome = wire::ANSWERED;
    out.slownessPercent = readSlowness(response.header(m_headers.serverLoad));
    std::erase_if(response.headers, [](const auto &it) { return isHopByHop(it.name); });
    out.response = std::move(response);
    return out;
}

void BackendRunner::cancel(std::uint64_t id)
{
    m_busyConnections.erase(id); // Closing the connection makes the backend server abort the request.
}

void BackendRunner::closeIdle()
{
    m_idleConnections.clear();
}

void BackendRunner::probe()
{
    m_probe = std::make_unique<BackendConnection>(m_loop, m_address, std::string());
    ++m_openedConnections;
    m_probe->awaitEstablished([this](bool established, BackendError error) {
        m_loop.runSoon([this] { m_probe.reset(); });
        if (!established && error == BackendError::Refused && m_connectionRefusedHandler) {
            m_connectionRefusedHandler();
        }
    });
}

std::uint64_t BackendRunner::openedConnections() const
{
    return m_openedConnections;
}

} // namespace Toucandeck
