#pragma once

#include "http/message_parser.h"

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

/// One request and the way to answer it. The handler keeps the exchange until it has answered; an exchange that is dropped
/// unanswered closes its connection.
class HttpExchange
{
public:
    HttpExchange(std::weak_ptr<internal::PipelinedConnection> connection, HttpRequest request, TimePoint received);
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const HttpRequest &request() const;
    HttpRequest &request();
    /// When the last byte of the request was read.
    TimePoint received() const;

    /// Answers, once. Answers leave in the order of the requests.
    void respond(HttpResponse response);

    /// Called at most once, if the client closes the connection before the answer.
    void setAbandoned(std::function<void()> handler);

    bool isAnswered() const;

private:
    friend class internal::PipelinedConnection;

    std::weak_ptr<internal::PipelinedConnection> m_connection;
    HttpRequest m_request;
    TimePoint m_received;
    std::function<void()> m_abandoned;
    bool m_answered = false;
};

/// HTTP/1.1 server that starts pipelined requests at once and answers them in order.
class PipelinedServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
    using Limits = std::function<HttpLimits()>;

    /// @param limits is asked at each request, so that a change of the limits takes hold at once. Errors: Io.
    static Result<std::unique_ptr<PipelinedServer>> create(EventLoop &loop, const SocketAddress &address, Limits limits, Handler handler);
    ~PipelinedServer();

    PipelinedServer(const PipelinedServer &) = delete;
    PipelinedServer &operator=(const PipelinedServer &) = delete;

    /// From now on each connection ends after the answers to the requests that it has sent.
    void drain();

    /// Stops accepting connections.
    void stopListening();

    /// Requests that have no complete answer yet, or whose answer has not been taken by the connection.
    std::size_t unfinished() const;

private:
    friend class internal::PipelinedConnection;

    PipelinedServer(EventLoop &loop, Limits limits, Handler handler);
    void accept(int descriptor);
    void sweep();

    EventLoop &m_loop;
    Limits m_limits;
    Handler m_handler;
    bool m_draining = false;
    std::list<std::shared_ptr<internal::PipelinedConnection>> m_connections;
    EventLoop::Watch m_sweep;
    std::unique_ptr<Listener> m_listener;
};

} // namespace Toucandeck
