#pragma once

#include "runtime/event_loop.h"
#include "runtime/http_client.h"

#include <functional>
#include <string>

struct bufferevent;
struct evhttp_connection;
struct evhttp_request;

namespace Toucandeck::internal
{

/// One persistent connection with at most one request on it.
class HttpClientConnection
{
public:
    using Done = std::function<void(HttpResult result)>;

    /// @param host IPv4 address.
    HttpClientConnection(EventLoop &loop, const HttpClientOptions &options, const std::string &host, std::uint16_t port);
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    /// Starts the request; @p done is called once, possibly from within this call, and must not destroy this connection.
    void start(int method, const HttpRequest &request, Duration timeout, Done done);
    /// Closes the connection without calling the handler; returns true if the request may have been written.
    bool cancel();
    /// False if the peer has closed the idle connection or sent unsolicited data.
    bool isUsable() const;
    TimePoint idleSince() const;

private:
    void onCompleted(evhttp_request *request);
    void fail(ErrorCode code, std::string error);
    void finish(HttpResult result);
    bool keepsAlive(evhttp_request *request) const;

    EventLoop &m_loop;
    const HttpClientOptions &m_options;
    bufferevent *m_bev;
    evhttp_connection *m_connection;
    evhttp_request *m_request = nullptr;
    Done m_done;
    bool m_written = false; ///< True if any byte of the current request may have been sent.
    std::string m_error;
    TimePoint m_idleSince;
    EventLoop::Watch m_timeout;
    EventLoop::Watch m_connectTimeout;
};

} // namespace Toucandeck::internal
