#pragma once

#include "common/result.h"
#include "log/logger.h"
#include "runtime/event_loop.h"
#include "runtime/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace Toucandeck
{

class HttpServer;

/// One request and its pending response. The handler keeps the shared_ptr until it has responded.
class HttpExchange
{
public:
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const HttpRequest &request() const;
    /// IP address of the client.
    const std::string &peer() const;
    /// Sends the response; only the first call has an effect. If it is never called, the destructor responds with 500.
    void respond(HttpResponse response);
    /// Registers a handler that is called once if the client closes its connection before the response; it is called at once if the
    /// connection is closed already.
    void onClosed(std::function<void()> handler);
    /// True after the client has closed its connection.
    bool isClosed() const;

private:
    friend class HttpServer;
    HttpExchange(HttpServer *server, evhttp_request *request);
    void notifyClosed();

    HttpServer *m_server;
    evhttp_request *m_request; ///< Null after the response was sent or the connection was closed.
    HttpRequest m_content;
    std::string m_peer;
    bool m_closed = false;
    std::function<void()> m_onClosed;
};

struct HttpServerOptions
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 selects a free port.
    std::size_t maxHeaderBytes = 64U << 10U;
    std::size_t maxBodyBytes = 1U << 20U; ///< Larger bodies are rejected with 413 and the verdict not-run.
    Duration idleTimeout = std::chrono::seconds(60); ///< Connections without traffic for longer are closed.
    Duration stopLimit = std::chrono::seconds(30); ///< Longest time that a graceful stop waits for pending responses.
    Duration stopLinger = std::chrono::milliseconds(500); ///< Idle connections stay open this long during a stop.
};

/// HTTP/1.1 server over evhttp. Responses are asynchronous, in any order across connections.
/// Malformed requests are rejected with 400, and too large ones with 413, both with "Toucandeck-Verdict: not-run".
/// Chunked request bodies are accepted and passed to the handler as a whole.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// Fails with Io if the address cannot be bound.
    static Result<std::unique_ptr<HttpServer>> create(EventLoop &loop, HttpServerOptions options, Logger &logger);
    ~HttpServer();

    void setHandler(Handler handler);
    std::uint16_t port() const;
    /// "IP:PORT" with the bound port.
    std::string address() const;
    /// Number of requests whose response is pending.
    std::size_t inFlight() const;
    /// Changes the limits for connections accepted from now on.
    void setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);
    /// Makes each later response ask the client to close its connection.
    void announceStop();
    /// Accepts no new connections, finishes all pending responses and then calls @p done.
    void stop(std::function<void()> done);

private:
    friend class HttpExchange;
    struct Connection;

    HttpServer(EventLoop &loop, HttpServerOptions options, Logger &logger);
    Result<void> open();
    static bufferevent *newBufferevent(event_base *base, void *self);
    static void addVerdict(evbuffer *output);
    Connection &connectionOf(evhttp_connection *connection);
    void handle(evhttp_request *request);
    void sendResponse(HttpExchange &exchange, evhttp_request *request, HttpResponse response);
    void onConnectionClosed(evhttp_connection *connection);
    void checkStopped();
    void finishStop(bool forced);

    EventLoop &m_loop;
    HttpServerOptions m_options;
    Logger &m_logger;
    Handler m_handler;
    evhttp *m_http = nullptr;
    evhttp_bound_socket *m_listener = nullptr;
    std::uint16_t m_port = 0;
    bool m_sendingOwnResponse = false;
    bool m_stopAnnounced = false;
    bool m_lingerElapsed = false;
    std::size_t m_inFlight = 0;
    std::function<void()> m_stopDone;
    EventLoop::Watch m_lingerTimer;
    EventLoop::Watch m_stopTimer;
    std::unordered_map<evhttp_connection *, std::unique_ptr<Connection>> m_connections;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Toucandeck
