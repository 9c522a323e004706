#pragma once

#include "runtime/byte_budget.h"
#include "runtime/event_loop.h"
#include "runtime/http_client.h"
#include "runtime/http_response_parser.h"
#include "runtime/request_writer.h"

#include <functional>
#include <string>

struct bufferevent;

namespace Toucandeck::internal
{

/// One persistent connection with at most one request on it.
class HttpClientConnection
{
public:
    using Done = std::function<void(HttpResult result)>;

    /// @param host IPv4 address.
    /// @param bodyBudget limits the bodies of all incomplete responses of the client.
    HttpClientConnection(EventLoop &loop, const HttpClientOptions &options, ByteBudget &bodyBudget, std::string host, std::uint16_t port);
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    /// Starts the request; @p done is called once, possibly from within this call, and must not destroy this connection.
    void start(const HttpRequest &request, Duration timeout, Done done);
    /// Closes the connection without calling the handler; returns true if the request may have been written.
    bool cancel();
    /// False if the peer has closed the idle connection or sent unsolicited data.
    bool isUsable() const;
    TimePoint idleSince() const;

private:
    bool connect();
    void write();
    void readResponse();
    bool takeBodyBytes();
    void releaseBodyBytes();
    void onEvent(short what);
    void onStreamEnd();
    void complete();
    bool keepsAlive(const HttpResponse &response) const;
    void fail(ErrorCode code, std::string error);
    void finish(HttpResult result);
    void close();

    EventLoop &m_loop;
    const HttpClientOptions &m_options;
    ByteBudget &m_bodyBudget;
    std::string m_host;
    std::uint16_t m_port;
    bufferevent *m_stream = nullptr; ///< Connects and reads; m_writer writes.
    RequestWriter m_writer;
    HttpResponseParser m_parser;
    std::size_t m_takenBodyBytes = 0; ///< Taken from m_bodyBudget.
    std::string m_unsentRequest; ///< Request that waits for the connection to be established.
    Done m_done;
    bool m_established = false;
    bool m_written = false; ///< True if any byte of the current request may have been sent.
    TimePoint m_idleSince;
    EventLoop::Watch m_timeout;
    EventLoop::Watch m_connectTimeout;
};

} // namespace Toucandeck::internal
