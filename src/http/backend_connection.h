#pragma once

#include "http/message_parser.h"
#include "http/response_memory.h"

#include "link/socket_address.h"
#include "runtime/event_loop.h"
#include "runtime/request_writer.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

struct bufferevent;

namespace Toucandeck
{

/// Reason why a request to a backend server received no valid response.
enum class BackendError {
    None,
    Refused, ///< No process listens on the address. Nothing was sent.
    ConnectFailed, ///< The connection could not be established for another reason. Nothing was sent.
    ConnectionLost, ///< The connection ended before a response was complete. The request may have been sent.
    InvalidResponse, ///< The received data is not a complete response to this request.
};

/// Why the received data is not a valid response.
enum class ResponseFault {
    None,
    Malformed, ///< Not HTTP, or its length is contradictory or given in an unsupported way.
    MalformedField, ///< The name of a header is no token, or its value has control bytes.
    TruncatedHead, ///< The connection ended within the status line or headers.
    TruncatedBody, ///< The connection ended within the body.
    HeadTooLarge, ///< Status lines, headers, chunk extensions and trailers exceed their limit.
    BodyTooLarge, ///< The bodies exceed their limit.
    ResponsesTooLarge, ///< The responses in progress on all connections exceed their limit, and this one is the largest.
    OtherRequest, ///< The connection ends after a response to another request.
};

/// Name of the fault as it appears in a log line.
const char *toString(ResponseFault fault);

struct BackendResult
{
    BackendError error = BackendError::None;
    ResponseFault fault = ResponseFault::None; ///< Set if the response is invalid.
    HttpResponse response; ///< Valid if there is no error.
    /// The response names the id of the request, or names none and is the first response to the only request of its connection. Any other
    /// response may be an extra copy of the response to an earlier request.
    bool identified = false;
    std::size_t droppedResponses = 0; ///< Late responses to other requests that were discarded before.
    std::string droppedId; ///< Request id in the last of them.
};

/// Client side of one HTTP/1.1 connection to a backend server; carries one request at a time.
class BackendConnection : private ResponseMemory::User
{
public:
    /// Limits for each request: they count for the sum of its response, interim responses and late responses to other requests.
    static constexpr std::size_t kMaxHeadBytes = 64U << 10U; ///< Of everything but bodies.
    static constexpr std::size_t kMaxBodyBytes = 8U << 20U;

    using ResponseHandler = std::function<void(BackendResult)>;

    /// @param echoHeader name of the header in which the backend server returns the request id.
    /// @param memory limits the responses of several connections together; null for no such limit. It must exist while a request is in
    /// progress.
    BackendConnection(EventLoop &loop, const SocketAddress &address, std::string echoHeader, ResponseMemory *memory = nullptr);
    ~BackendConnection() override;

    BackendConnection(const BackendConnection &) = delete;
    BackendConnection &operator=(const BackendConnection &) = delete;

    /// Lowers the limit on bodies from kMaxBodyBytes to @p bytes. Call before the first request.
    void limitBodies(std::size_t bytes);

    /// Sends a request. If @p requestId is not empty, a response with another id is discarded as a late response to an earlier request.
    /// @param handler called once, unless the connection is destroyed first; it may destroy the connection.
    void send(const HttpRequest &request, std::string requestId, ResponseHandler handler);

    /// Calls @p handler once, when the connection is established or has failed. For use instead of send().
    void awaitEstablished(std::function<void(bool established, BackendError error)> handler);

    /// Prevents the connection from carrying another request with this id, because an extra copy of the response to the earlier one could
    /// not be distinguished from the response to the later one. After many such ids the connection is not reusable.
    void excludeRequestId(const std::string &requestId);
    /// False if the id was excluded.
    bool mayCarry(const std::string &requestId) const;

    /// True if the connection is open, no request is in progress, and both sides keep the connection alive.
    bool isReusable() const;
    bool isEstablished() const;
    TimePoint idleSince() const;
    /// Time after which the backend server closes an idle connection.
    Duration idleTimeout() const;

private:
    void connect(const SocketAddress &address);
    /// Writes the request once the connection is established: a request that was handed to the kernel before could run although the
    /// connection counts as failed.
    void write(const HttpRequest &request);
    void onConnectTimeout();
    void onEstablished();
    void readResponse();
    void finish(internal::ParsedMessage message);
    bool isLate(const HttpResponse &response) const;
    bool isIdentified(const HttpResponse &response) const;
    void fail(BackendError error, ResponseFault fault = ResponseFault::None);
    void close();
    void abandonResponse() override;
    void recordMemory(std::size_t bytes);

    static void onRead(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);

    EventLoop &m_loop;
    std::string m_echoHeader;
    ResponseMemory *m_memory;
    std::size_t m_recordedMemory = 0; ///< Bytes; zero if no request is in progress.
    bufferevent *m_stream = nullptr; ///< Connects and reads; m_writer writes.
    internal::RequestWriter m_writer;
    internal::MessageParser m_parser;
    bool m_established = false;
    std::string m_unsentRequest; ///< Waits for the connection to be established.
    bool m_keepAlive = true;
    std::string m_requestId;
    std::size_t m_receivedResponses = 0; ///< Over all requests; interim responses do not count.
    std::size_t m_droppedResponses = 0; ///< During the current request.
    std::string m_droppedId;
    std::vector<std::size_t> m_excludedIds; ///< Hashes of request ids.
    ResponseHandler m_responseHandler;
    std::function<void(bool, BackendError)> m_establishedHandler;
    TimePoint m_idleSince;
    Duration m_idleTimeout;
    std::shared_ptr<bool> m_alive; ///< Set to false on destruction, because handlers may destroy the connection.
    EventLoop::Watch m_connectTimer;
};

} // namespace Toucandeck
