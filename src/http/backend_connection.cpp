#include "http/backend_connection.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Toucandeck
{

namespace
{

using std::chrono::seconds;

constexpr std::chrono::milliseconds kConnectTimeout{ 500 }; ///< Short, because the backend server runs on the same VM.
constexpr seconds kDefaultIdleTimeout{ 4 }; ///< For backend servers that advertise no timeout.
constexpr std::size_t kMaxExcludedIds = 256; ///< Per connection.

/// Value of N in the header "Keep-Alive: timeout=N".
std::optional<seconds> advertisedIdleTimeout(const HttpResponse &response)
{
    constexpr std::string_view kName = "timeout=";
    const auto value = response.header("Keep-Alive");
    const auto at = value ? value->find(kName) : std::string_view::npos;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value->substr(at + kName.size());
    int n = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    return ec == std::errc() ? std::optional(seconds(n)) : std::nullopt;
}

ResponseFault faultOf(internal::ParseError error)
{
    switch (error) {
    case internal::ParseError::Malformed:
        return ResponseFault::Malformed;
    case internal::ParseError::MalformedField:
        return ResponseFault::MalformedField;
    case internal::ParseError::HeadersTooLarge:
        return ResponseFault::HeadTooLarge;
    case internal::ParseError::BodyTooLarge:
        return ResponseFault::BodyTooLarge;
    }
    return ResponseFault::Malformed;
}

} // namespace

const char *toString(ResponseFault fault)
{
    switch (fault) {
    case ResponseFault::None:
        return "none";
    case ResponseFault::Malformed:
        return "malformed";
    case ResponseFault::MalformedField:
        return "malformed_field";
    case ResponseFault::TruncatedHead:
        return "truncated_head";
    case ResponseFault::TruncatedBody:
        return "truncated_body";
    case ResponseFault::HeadTooLarge:
        return "head_too_large";
    case ResponseFault::BodyTooLarge:
        return "body_too_large";
    case ResponseFault::ResponsesTooLarge:
        return "responses_too_large";
    case ResponseFault::OtherRequest:
        return "other_request";
    }
    return "unknown";
}

BackendConnection::BackendConnection(EventLoop &loop, const SocketAddress &address, std::string echoHeader, ResponseMemory *memory)
    : m_loop(loop)
    , m_echoHeader(std::move(echoHeader))
    , m_memory(memory)
    , m_writer(loop)
    , m_parser(internal::MessageParser::Kind::Response)
    , m_idleSince(loop.clock().now())
    , m_idleTimeout(kDefaultIdleTimeout)
    , m_alive(std::make_shared<bool>(true))
{
    m_parser.setLimits(kMaxHeadBytes, kMaxBodyBytes);
    connect(address);
}

BackendConnection::~BackendConnection()
{
    *m_alive = false;
    close();
}

void BackendConnection::connect(const SocketAddress &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        m_keepAlive = false;
        return; // send() reports the failure.
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    m_stream = bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(m_stream, &BackendConnection::onRead, nullptr, &BackendConnection::onEvent, this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    const auto sa = address.toSockaddr();
    m_connectTimer = m_loop.after(kConnectTimeout, [this] { onConnectTimeout(); });
    bufferevent_socket_connect(m_stream, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa));
}

void BackendConnection::onConnectTimeout()
{
    // A starved process handles the timeout and the established connection in the same iteration, the timeout first.
    m_loop.runSoon([this, alive = m_alive] {
        if (*alive && !m_established) {
            fail(BackendError::ConnectFailed);
        }
    });
}

void BackendConnection::limitBodies(std::size_t bytes)
{
    m_parser.setLimits(kMaxHeadBytes, bytes);
}

void BackendConnection::send(const HttpRequest &request, std::string requestId, ResponseHandler handler)
{
    m_responseHandler = std::move(handler);
    m_requestId = std::move(requestId);
    m_droppedResponses = 0;
    m_droppedId.clear();
    if (m_stream == nullptr) {
        m_loop.runSoon([this, alive = m_alive] {
            if (*alive) {
                fail(BackendError::ConnectFailed);
            }
        });
        return;
    }
    m_parser.startExchange();
    m_parser.expectNoBody(request.method == "HEAD");
    write(request);
}

void BackendConnection::awaitEstablished(std::function<void(bool, BackendError)> handler)
{
    m_establishedHandler = std::move(handler);
}

void BackendConnection::write(const HttpRequest &request)
{
    std::string head = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (const auto &it : request.headers) {
        head += fmt::format("{}: {}\r\n", it.name, it.value);
    }
    const bool bodyless = request.body.empty() && (request.method == "GET" || request.method == "HEAD");
    head += bodyless ? "\r\n" : fmt::format("Content-Length: {}\r\n\r\n", request.body.size());
    head.reserve(head.size() + request.body.size());
    head += request.body;
    if (m_established) {
        m_writer.write(std::move(head));
    } else {
        m_unsentRequest = std::move(head);
    }
}

void BackendConnection::onEstablished()
{
    m_established = true;
    m_connectTimer.cancel();
    m_writer.start(bufferevent_getfd(m_stream));
    m_writer.write(std::exchange(m_unsentRequest, {}));
    if (m_establishedHandler) {
        std::exchange(m_establishedHandler, nullptr)(true, BackendError::None);
    }
}

void BackendConnection::excludeRequestId(const std::string &requestId)
{
    m_excludedIds.push_back(std::hash<std::string>()(requestId));
}

bool BackendConnection::mayCarry(const std::string &requestId) const
{
    return std::find(m_excludedIds.begin(), m_excludedIds.end(), std::hash<std::string>()(requestId)) == m_excludedIds.end();
}

bool BackendConnection::isReusable() const
{
    return m_stream != nullptr && m_keepAlive && !m_responseHandler && m_excludedIds.size() < kMaxExcludedIds;
}

bool BackendConnection::isEstablished() const
{
    return m_established;
}

TimePoint BackendConnection::idleSince() const
{
    return m_idleSince;
}

Duration BackendConnection::idleTimeout() const
{
    return m_idleTimeout;
}

void BackendConnection::onRead(bufferevent * /*stream*/, void *self)
{
    static_cast<BackendConnection *>(self)->readResponse();
}

void BackendConnection::readResponse()
{
    auto *in = bufferevent_get_input(m_stream);
    if (!m_responseHandler) {
        // No request is in progress, so the data belongs to no expected response.
        m_keepAlive = false;
        close();
        return;
    }
    while (m_responseHandler) {
        evbuffer_iovec chunk{};
        if (evbuffer_peek(in, -1, nullptr, &chunk, 1) < 1 || chunk.iov_len == 0) {
            return;
        }
        const auto n = m_parser.feed({ static_cast<const char *>(chunk.iov_base), chunk.iov_len });
        evbuffer_drain(in, n);
        if (m_parser.error()) {
            fail(BackendError::InvalidResponse, faultOf(*m_parser.error()));
            return;
        }
        recordMemory(m_parser.bodyCapacity());
        if (auto message = m_parser.take()) {
            const auto alive = m_alive;
            finish(std::move(*message));
            if (!*alive) {
                return;
            }
        }
    }
}

void BackendConnection::finish(internal::ParsedMessage message)
{
    recordMemory(0);
    BackendResult result;
    result.response = { message.status, std::move(message.headers), std::move(message.body) };
    result.identified = isIdentified(result.response);
    ++m_receivedResponses;
    if (isLate(result.response)) {
        m_keepAlive = false; // The expected response may still follow.
        ++m_droppedResponses;
        m_droppedId = result.response.header(m_echoHeader).value_or("");
        if (!message.keepAlive) {
            fail(BackendError::InvalidResponse, ResponseFault::OtherRequest);
        }
        return;
    }
    result.droppedResponses = m_droppedResponses;
    result.droppedId = m_droppedId;
    m_keepAlive = m_keepAlive && message.keepAlive;
    // With data after the response, or with part of the request unsent, the next response could be misread.
    m_keepAlive = m_keepAlive && evbuffer_get_length(bufferevent_get_input(m_stream)) == 0 && m_writer.isFinished();
    m_idleSince = m_loop.clock().now();
    if (const auto timeout = advertisedIdleTimeout(result.response)) {
        m_idleTimeout = *timeout;
    }
    std::exchange(m_responseHandler, nullptr)(std::move(result));
}

bool BackendConnection::isLate(const HttpResponse &response) const
{
    const auto echoed = response.header(m_echoHeader);
    return !m_requestId.empty() && echoed && *echoed != m_requestId;
}

bool BackendConnection::isIdentified(const HttpResponse &response) const
{
    const auto echoed = response.header(m_echoHeader);
    if (!echoed) {
        return m_receivedResponses == 0;
    }
    return !m_requestId.empty() && *echoed == m_requestId;
}

void BackendConnection::onEvent(bufferevent * /*stream*/, short what, void *self)
{
    auto &it = *static_cast<BackendConnection *>(self);
    const int ec = EVUTIL_SOCKET_ERROR();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        it.onEstablished();
        return;
    }
    if (!it.m_established) {
        it.fail(ec == ECONNREFUSED ? BackendError::Refused : BackendError::ConnectFailed);
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0 && it.m_responseHandler) {
        it.m_keepAlive = false;
        if (!it.m_writer.hasConsumedError()) {
            it.m_parser.feedEof(); // A response without a length ends with the connection, unless that was reset (RFC 9112, 8).
        }
        if (auto message = it.m_parser.take()) {
            const auto alive = it.m_alive;
            it.finish(std::move(*message));
            if (!*alive || !it.m_responseHandler) {
                return;
            }
        }
    }
    if (it.m_parser.isInMessage()) {
        it.fail(BackendError::InvalidResponse, it.m_parser.hasHeaders() ? ResponseFault::TruncatedBody : ResponseFault::TruncatedHead);
    } else {
        it.fail(BackendError::ConnectionLost);
    }
}

void BackendConnection::fail(BackendError error, ResponseFault fault)
{
    m_keepAlive = false;
    m_connectTimer.cancel();
    close();
    if (m_establishedHandler) {
        std::exchange(m_establishedHandler, nullptr)(false, error);
        return;
    }
    if (m_responseHandler) {
        BackendResult result;
        result.error = error;
        result.fault = fault;
        result.droppedResponses = m_droppedResponses;
        result.droppedId = m_droppedId;
        std::exchange(m_responseHandler, nullptr)(std::move(result));
    }
}

void BackendConnection::close()
{
    recordMemory(0);
    m_writer.stop();
    if (m_stream != nullptr) {
        bufferevent_free(m_stream);
        m_stream = nullptr;
    }
}

void BackendConnection::abandonResponse()
{
    fail(BackendError::InvalidResponse, ResponseFault::ResponsesTooLarge);
}

void BackendConnection::recordMemory(std::size_t bytes)
{
    if (m_memory != nullptr && bytes != m_recordedMemory) {
        m_recordedMemory = bytes;
        m_memory->set(*this, bytes);
    }
}

} // namespace Toucandeck
