#include "runtime/http_client_connection.h"

#include "runtime/evhttp_convert.h"

#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <sys/socket.h>
#include <utility>

namespace Toucandeck::internal
{

namespace
{

/// Long enough that libevent's own timeouts never fire first: they cannot be distinguished from other failures.
constexpr int kLibraryTimeoutSeconds = 24 * 3600;

constexpr std::array<const char *, 6> kErrors{ "no data in time",  "connection closed before the answer was complete",
                                               "malformed answer", "connection broke",
                                               "cancelled",        "answer larger than the limit" };

const char *errorText(evhttp_request_error error)
{
    const auto n = static_cast<std::size_t>(error);
    return n < kErrors.size() ? kErrors[n] : "connection failed";
}

} // namespace

HttpClientConnection::HttpClientConnection(EventLoop &loop, const HttpClientOptions &options, const std::string &host, std::uint16_t port)
    : m_loop(loop)
    , m_options(options)
    , m_bev(bufferevent_socket_new(loop.base(), -1, 0))
    , m_connection(evhttp_connection_base_bufferevent_new(loop.base(), nullptr, m_bev, host.c_str(), port))
    , m_idleSince(loop.clock().now())
{
    // A retry by libevent could run a request twice.
    evhttp_connection_set_retries(m_connection, 0);
    evhttp_connection_set_timeout(m_connection, kLibraryTimeoutSeconds);
    evhttp_connection_set_max_headers_size(m_connection, static_cast<ev_ssize_t>(options.maxHeaderBytes));
    evhttp_connection_set_max_body_size(m_connection, static_cast<ev_ssize_t>(options.maxBodyBytes));
    evbuffer_add_cb(
        bufferevent_get_output(m_bev),
        [](evbuffer * /*output*/, const evbuffer_cb_info *info, void *self) {
            if (info->n_added > 0) {
                // libevent writes as soon as the socket is writable; a failure before the write cannot be distinguished from one after it.
                static_cast<HttpClientConnection *>(self)->m_written = true;
                static_cast<HttpClientConnection *>(self)->m_connectTimeout.cancel();
            }
        },
        this);
}

HttpClientConnection::~HttpClientConnection()
{
    m_done = nullptr;
    evhttp_connection_free(m_connection);
}

void HttpClientConnection::start(int method, const HttpRequest &request, Duration timeout, Done done)
{
    m_done = std::move(done);
    m_written = false;
    m_error.clear();
    m_request = evhttp_request_new(
        [](evhttp_request *answer, void *self) { static_cast<HttpClientConnection *>(self)->onCompleted(answer); }, this);
    evhttp_request_set_error_cb(
        m_request, [](evhttp_request_error error, void *self) { static_cast<HttpClientConnection *>(self)->m_error = errorText(error); });
    addHeaders(m_request, request.headers);
    auto *output = evhttp_request_get_output_headers(m_request);
    const auto host = request.header("Host");
    evhttp_add_header(output, "Host", host ? std::string(*host).c_str() : "localhost");
    if (!request.body.empty()) {
        evhttp_add_header(output, "Content-Length", std::to_string(request.body.size()).c_str());
        evbuffer_add(evhttp_request_get_output_buffer(m_request), request.body.data(), request.body.size());
    }
    m_timeout = m_loop.after(timeout, [this] { fail(ErrorCode::DeadlineExceeded, "no complete answer before the deadline"); });
    if (bufferevent_getfd(m_bev) < 0) {
        m_connectTimeout
            = m_loop.after(m_options.connectTimeout, [this] { fail(ErrorCode::Unavailable, "connection not established in time"); });
    }
    if (evhttp_make_request(m_connection, m_request, static_cast<evhttp_cmd_type>(method), request.target.c_str()) != 0) {
        m_request = nullptr;
        fail(ErrorCode::Unavailable, "connection refused");
    }
}

bool HttpClientConnection::cancel()
{
    m_done = nullptr;
    m_timeout.cancel();
    m_connectTimeout.cancel();
    if (m_request != nullptr) {
        evhttp_cancel_request(std::exchange(m_request, nullptr));
    }
    return m_written;
}

void HttpClientConnection::onCompleted(evhttp_request *request)
{
    m_request = nullptr;
    if (!m_done) {
        return;
    }
    const int status = request != nullptr ? evhttp_request_get_response_code(request) : 0;
    if (status == 0) {
        fail(ErrorCode::Unavailable, m_error.empty() ? "connection refused or lost" : m_error);
        return;
    }
    HttpResult result;
    result.verdict = Verdict::Ran;
    result.response = HttpResponse{ status, readHeaders(request), readBody(request) };
    result.connectionKept = keepsAlive(request);
    finish(std::move(result));
}

bool HttpClientConnection::keepsAlive(evhttp_request *request) const
{
    const auto *headers = evhttp_request_get_input_headers(request);
    const char *connection = evhttp_find_header(headers, "Connection");
    const bool isHttp11OrLater = request->major > 1 || (request->major == 1 && request->minor >= 1);
    if (!isHttp11OrLater || (connection != nullptr && equalHeaderNames(connection, "close")) || bufferevent_getfd(m_bev) < 0) {
        return false;
    }
    // Bytes behind the answer would be read as the answer to the next request.
    if (evbuffer_get_length(bufferevent_get_input(m_bev)) > 0) {
        return false;
    }
    // Answers carry no request id: a refusal that is repeated later could not be told from the answer to the next request.
    const char *verdict = evhttp_find_header(headers, "Toucandeck-Verdict");
    return verdict == nullptr || verdictFromString(verdict) != Verdict::NotRun;
}

void HttpClientConnection::fail(ErrorCode code, std::string error)
{
    HttpResult result;
    result.verdict = m_written ? Verdict::MayHaveRun : Verdict::NotRun;
    result.code = code;
    result.error = std::move(error);
    auto done = std::exchange(m_done, nullptr);
    cancel();
    m_done = std::move(done);
    finish(std::move(result));
}

void HttpClientConnection::finish(HttpResult result)
{
    m_timeout.cancel();
    m_connectTimeout.cancel();
    m_idleSince = m_loop.clock().now();
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done(std::move(result));
    }
}

bool HttpClientConnection::isUsable() const
{
    const int descriptor = bufferevent_getfd(m_bev);
    char buf = 0;
    return descriptor >= 0 && recv(descriptor, &buf, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

TimePoint HttpClientConnection::idleSince() const
{
    return m_idleSince;
}

} // namespace Toucandeck::internal
