#pragma once

#include "http/message_parser.h"
#include "http/request_memory.h"

#include "link/listener.h"
#include "runtime/event_loop.h"

#include <functional>
#include <list>
#include <memory>

namespace Toucandeck
{

namespace internal
{
class PipelinedConnection;
}

/// A request and its pending response. The handler keeps the exchange until it has responded; destroying an exchange without a
/// response closes its connection.
class HttpExchange
{
public:
    HttpExchange(std::weak_ptr<internal::PipelinedConnection> connection, HttpRequest request, TimePoint receivedAt);
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const HttpRequest &request() const;
    HttpRequest &request();
    /// Time at which the last byte of the request was read.
    TimePoint receivedAt() const;

    /// Responds; must be called only once. Responses are sent in the order of the requests.
    void respond(HttpResponse response);

    /// Sets a handler that is called at most once, if the client closes the connection before the response.
    void setDisconnectHandler(std::function<void()> handler);

    bool isAnswered() const;

private:
    friend class internal::PipelinedConnection;

    std::weak_ptr<internal::PipelinedConnection> m_connection;
    HttpRequest m_request;
    TimePoint m_receivedAt;
    std::function<void()> m_disconnectHandler;
    bool m_answered = false;
    std::unique_ptr<RequestMemory::Reservation> m_reservation;
};

/// HTTP/1.1 server that processes pipelined requests concurrently and responds in order.
class PipelinedServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
    using LimitsProvider = std::function<HttpLimits()>;

    /// @param limits called for each request, so that changed limits apply immediately.
    /// @param memory limits the memory of the clients; null for no limit on memory and connections.
    /// Errors: Io.
    static Result<std::unique_ptr<PipelinedServer>> create(EventLoop &loop,
                                                           const SocketAddress &address,
                                                           LimitsProvider limits,
                                                           Handler handler,
                                                           std::shared_ptr<RequestMemory> memory = nullptr);
    ~PipelinedServer();

    PipelinedServer(const PipelinedServer &) = delete;
    PipelinedServer &operator=(const PipelinedServer &) = delete;

    /// Starts a graceful shutdown: each connection is closed after the responses to the requests that it has already sent. An idle
    /// connection stays open for one more request, because its client may be sending one, until closeIdleConnections() is called.
    void drain();
    /// Closes the connections that are idle, and from now on each further one as soon as it is idle. For use after drain().
    void closeIdleConnections();

    /// Stops accepting connections.
    void stopListening();

    /// Number of requests without a response, plus the number of connections with unsent response data.
    std::size_t unfinishedRequests() const;

    /// Number of connections that the server has closed after a response and the client has not. Destroying the server while unread data
    /// has arrived on one of them resets it, which can lose the response.
    std::size_t lingeringConnections() const;

private:
    friend class internal::PipelinedConnection;

    PipelinedServer(EventLoop &loop, LimitsProvider limits, Handler handler, std::shared_ptr<RequestMemory> memory);
    void accept(int descriptor);
    /// Closes the connection that has been idle for the longest time; false if none is idle.
    bool closeOneIdle();
    void sweep();

    EventLoop &m_loop;
    LimitsProvider m_limitsProvider;
    Handler m_handler;
    std::shared_ptr<RequestMemory> m_memory;
    bool m_draining = false;
    bool m_closesIdleConnections = false;
    std::list<std::shared_ptr<internal::PipelinedConnection>> m_connections;
    EventLoop::Watch m_sweepTimer;
    std::unique_ptr<Listener> m_listener;
};

} // namespace Toucandeck
