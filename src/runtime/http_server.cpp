#include "runtime/http_server.h"

#include "runtime/events.h"
#include "runtime/evhttp_convert.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>

namespace Toucandeck
{

namespace
{

/// Length of the listen queue; clients reconnect all at once after a failover.
constexpr int kBacklog = 1024;

constexpr const char *kVerdictLine = "Toucandeck-Verdict: not-run\r\n";

/// True if the appended text is a status line, which libevent appends separately before the headers.
bool isStatusLine(std::string_view text)
{
    return text.starts_with("HTTP/1.") && text.ends_with("\r\n") && text.find("\r\n") == text.size() - 2;
}

HttpResponse badRequest(const char *reason)
{
    return { 400, { { "Content-Type", "text/plain" }, { "Toucandeck-Verdict", "not-run" } }, std::string(reason) + "\n" };
}

/// Reason to reject a request whose framing or target other servers could interpret differently; null if the request is valid.
const char *refusalOf(const HttpRequest &request)
{
    const auto countOf = [&request](std::string_view name) {
        return std::count_if(
            request.headers.begin(), request.headers.end(), [name](const auto &it) { return equalHeaderNames(it.name, name); });
    };
    if (countOf("Content-Length") > 1) {
        return "more than one Content-Length";
    }
    if (countOf("Content-Length") > 0 && countOf("Transfer-Encoding") > 0) {
        return "both Content-Length and Transfer-Encoding";
    }
    if (request.target.empty() || (request.target[0] != '/' && request.target != "*")) {
        return "the request target must be a path that starts with /";
    }
    return nullptr;
}

} // namespace

struct HttpServer::Connection
{
    HttpServer *server = nullptr;
    evhttp_connection *connection = nullptr;
    HttpExchange *exchange = nullptr; ///< Request whose response is pending.
    bool writingResponse = false;
    EventLoop::Watch peerClosed;
};

Result<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop &loop, HttpServerOptions options, Logger &logger)
{
    auto server = std::unique_ptr<HttpServer>(new HttpServer(loop, std::move(options), logger));
    BOOST_LEAF_CHECK(server->open());
    return server;
}

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options, Logger &logger)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_logger(logger)
{
}

HttpServer::~HttpServer()
{
    *m_alive = false;
    for (auto &it : m_connections) {
        evhttp_connection_set_closecb(it.first, nullptr, nullptr);
        it.second->peerClosed.cancel();
        if (it.second->exchange != nullptr) {
            it.second->exchange->m_server = nullptr;
            it.second->exchange->m_request = nullptr;
        }
    }
    if (m_http != nullptr) {
        evhttp_free(m_http);
    }
}

Result<void> HttpServer::open()
{
    m_http = evhttp_new(m_loop.base());
    setLimits(m_options.maxHeaderBytes, m_options.maxBodyBytes);
    evhttp_set_allowed_methods(m_http, internal::servedMethods());
    evhttp_set_default_content_type(m_http, nullptr);
    // A client that is still sending its body reads the 413 instead of a reset.
    evhttp_set_flags(m_http, EVHTTP_SERVER_LINGERING_CLOSE);
    const auto idle = std::chrono::duration_cast<std::chrono::microseconds>(m_options.idleTimeout).count();
    const timeval tv{ idle / 1'000'000, idle % 1'000'000 };
    evhttp_set_timeout_tv(m_http, &tv);
    evhttp_set_bevcb(m_http, &HttpServer::newBufferevent, this);
    evhttp_set_gencb(
        m_http, [](evhttp_request *request, void *self) { static_cast<HttpServer *>(self)->handle(request); }, this);

    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    if (inet_pton(AF_INET, m_options.host.c_str(), &address.sin_addr) != 1) {
        return fail(ErrorCode::InvalidArgument, "HTTP address " + m_options.host + " is not an IPv4 address");
    }
    evconnlistener *listener = evconnlistener_new_bind(m_loop.base(),
                                                       nullptr,
                                                       nullptr,
                                                       LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                                       kBacklog,
                                                       reinterpret_cast<sockaddr *>(&address),
                                                       sizeof address);
    if (listener == nullptr) {
        return fail(ErrorCode::Io,
                    "cannot listen on " + m_options.host + ":" + std::to_string(m_options.port) + ": " + std::strerror(errno));
    }
    m_listener = evhttp_bind_listener(m_http, listener);
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_logger.write(Events::kHttpListening, { field("address", this->address()) });
    return {};
}

bufferevent *HttpServer::newBufferevent(event_base *base, void *self)
{
    bufferevent *bev = bufferevent_socket_new(base, -1, 0);
    evbuffer_add_cb(
        bufferevent_get_output(bev),
        [](evbuffer *output, const evbuffer_cb_info *info, void *arg) {
            if (info->n_added > 0 && !static_cast<HttpServer *>(arg)->m_sendingOwnResponse) {
                addVerdict(output);
            }
        },
        self);
    return bev;
}

void HttpServer::addVerdict(evbuffer *output)
{
    // libevent responds to malformed and too large requests by itself and offers no way to add a header. It writes the status line
    // first, so the verdict can follow it. The buffer is peeked at: after the first write on a connection libevent freezes its start,
    // and evbuffer_copyout() then fails.
    constexpr std::size_t kLongestStatusLine = 128;
    constexpr int kExtents = 4;
    if (evbuffer_get_length(output) > kLongestStatusLine) {
        return;
    }
    evbuffer_iovec extents[kExtents];
    const int used = evbuffer_peek(output, -1, nullptr, extents, kExtents);
    std::string text;
    for (int n = 0; n < std::min(used, kExtents); ++n) {
        text.append(static_cast<const char *>(extents[n].iov_base), extents[n].iov_len);
    }
    if (isStatusLine(text)) {
        evbuffer_add(output, kVerdictLine, std::strlen(kVerdictLine));
    }
}

void HttpServer::setHandler(Handler handler)
{
    m_handler = std::move(handler);
}

std::uint16_t HttpServer::port() const
{
    return m_port;
}

std::string HttpServer::address() const
{
    return m_options.host + ":" + std::to_string(m_port);
}

std::size_t HttpServer::inFlight() const
{
    return m_inFlight;
}

HttpServer::Connection &HttpServer::connectionOf(evhttp_connection *connection)
{
    auto &entry = m_connections[connection];
    if (!entry) {
        entry = std::make_unique<Connection>();
        entry->server = this;
        entry->connection = connection;
        auto *raw = entry.get();
        evhttp_connection_set_closecb(
            connection,
            [](evhttp_connection * /*connection*/, void *arg) {
                auto *entry = static_cast<Connection *>(arg);
                entry->server->onConnectionClosed(entry->connection);
            },
            raw);
        const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        entry->peerClosed = m_loop.onPeerClosed(descriptor, [this, raw] {
            // libevent itself closes a connection that is idle or whose response is being written.
            if (raw->exchange != nullptr) {
                evhttp_connection_free(raw->connection);
            }
        });
    }
    return *entry;
}

void HttpServer::handle(evhttp_request *request)
{
    auto &connection = connectionOf(evhttp_request_get_connection(request));
    const std::shared_ptr<HttpExchange> exchange(new HttpExchange(this, request));
    connection.exchange = exchange.get();
    ++m_inFlight;
    if (const char *reason = refusalOf(exchange->request())) {
        exchange->respond(badRequest(reason));
    } else if (m_handler) {
        m_handler(exchange);
    }
}

void HttpServer::sendResponse(HttpExchange &exchange, evhttp_request *request, HttpResponse response)
{
    auto &connection = connectionOf(evhttp_request_get_connection(request));
    connection.exchange = nullptr;
    connection.writingResponse = true;
    internal::addHeaders(request, response.headers);
    if (m_stopAnnounced) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    }
    const bool bodiless = exchange.request().method == "HEAD" || response.status == 204 || response.status == 304;
    evbuffer *body = evbuffer_new();
    if (!bodiless) {
        evbuffer_add(body, response.body.data(), response.body.size());
    }
    evhttp_request_set_on_complete_cb(
        request,
        [](evhttp_request * /*request*/, void *arg) {
            auto *entry = static_cast<Connection *>(arg);
            entry->writingResponse = false;
            --entry->server->m_inFlight;
            entry->server->checkStopped();
        },
        &connection);
    m_sendingOwnResponse = true;
    evhttp_send_reply(request, response.status, reasonPhrase(response.status), body);
    m_sendingOwnResponse = false;
    evbuffer_free(body);
}

void HttpServer::onConnectionClosed(evhttp_connection *connection)
{
    const auto it = m_connections.find(connection);
    if (it == m_connections.end()) {
        return;
    }
    const auto entry = std::move(it->second);
    m_connections.erase(it);
    entry->peerClosed.cancel();
    if (entry->exchange != nullptr || entry->writingResponse) {
        --m_inFlight;
    }
    if (entry->exchange != nullptr) {
        entry->exchange->notifyClosed();
    }
    checkStopped();
}

void HttpServer::setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
{
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(maxHeaderBytes));
    evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(maxBodyBytes));
}

void HttpServer::announceStop()
{
    m_stopAnnounced = true;
}

void HttpServer::stop(std::function<void()> done)
{
    m_stopAnnounced = true;
    m_stopDone = std::move(done);
    if (m_listener != nullptr) {
        evhttp_del_accept_socket(m_http, m_listener);
        m_listener = nullptr;
    }
    // A request may be in transit on a connection that looks idle.
    m_lingerTimer = m_loop.after(m_options.stopLinger, [this] {
        m_lingerElapsed = true;
        checkStopped();
    });
    m_stopTimer = m_loop.after(m_options.stopLimit, [this] { finishStop(true); });
}

void HttpServer::checkStopped()
{
    if (m_stopDone && m_lingerElapsed && m_inFlight == 0) {
        finishStop(false);
    }
}

void HttpServer::finishStop(bool forced)
{
    if (!m_stopDone) {
        return;
    }
    m_lingerTimer.cancel();
    m_stopTimer.cancel();
    if (forced) {
        m_logger.write(Events::kHttpStopForced, { field("in_flight", m_inFlight) });
    } else {
        m_logger.write(Events::kHttpStopped, { field("address", address()) });
    }
    // The callback usually destroys this server, which must not happen within a libevent callback.
    m_loop.runSoon([done = std::move(m_stopDone), alive = m_alive] {
        if (*alive) {
            done();
        }
    });
    m_stopDone = nullptr;
}

} // namespace Toucandeck
