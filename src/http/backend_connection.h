#pragma once

#include "http/message_parser.h"

#include "link/socket_address.h"
#include "runtime/event_loop.h"

#include <functional>
#include <memory>

struct bufferevent;

namespace Toucandeck
{

/// Why a request to a backend server brought no answer.
enum class BackendError {
    None,
    Refused, ///< Nobody listens at the address. Nothing was sent.
    ConnectFailed, ///< The connection was not established for another reason. Nothing was sent.
    ConnectionLost, ///< The connection ended before the complete answer.
    BadAnswer, ///< What came is not a complete answer to this request.
};

struct BackendResult
{
    BackendError error = BackendError::None;
    HttpResponse response; ///< Valid without an error.
};

/// Client side of one HTTP/1.1 connection to a backend server; carries one request at a time.
class BackendConnection
{
public:
    using Done = std::function<void(BackendResult)>;

    /// @param echoHeader names the header in which backend servers repeat the id of the request.
    BackendConnection(EventLoop &loop, const SocketAddress &address, std::string echoHeader);
    ~BackendConnection();

    BackendConnection(const BackendConnection &) = delete;
    BackendConnection &operator=(const BackendConnection &) = delete;

    /// Sends a request. With an id, answers that repeat another id are dropped: they are late answers to earlier requests.
    /// @param done is called once, unless the connection is destroyed first; it may destroy the connection.
    void send(const HttpRequest &request, std::string id, Done done);

    /// Calls back once, when the connection is established or has failed. In place of send().
    void awaitEstablished(std::function<void(bool established, BackendError error)> callback);

    /// The connection is open, without a request, and both sides keep it.
    bool isReusable() const;
    bool isEstablished() const;
    TimePoint idleSince() const;
    /// Time for which the backend server keeps the connection without a request.
    Duration idleLimit() const;

private:
    void connect(const SocketAddress &address);
    void write(const HttpRequest &request);
    void readAnswer();
    void finish(internal::ParsedMessage message);
    void fail(BackendError error);
    void close();

    static void onRead(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);

    EventLoop &m_loop;
    std::string m_echoHeader;
    bufferevent *m_stream = nullptr;
    internal::MessageParser m_parser;
    bool m_established = false;
    bool m_keep = true;
    std::string m_id;
    Done m_done;
    std::function<void(bool, BackendError)> m_awaited;
    TimePoint m_idleSince;
    Duration m_idleLimit;
    std::shared_ptr<bool> m_alive; ///< False once destroyed; for handlers that may destroy the connection.
    EventLoop::Watch m_connectTimer;
};

} // namespace Toucandeck
