#include "runtime/http_client_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>

namespace Toucandeck::internal
{

namespace
{

/// Methods whose requests state a length even without a body (RFC 9110, 8.6).
constexpr std::array<std::string_view, 3> kMethodsWithBody{ "POST", "PUT", "PATCH" };

/// A line break in a value would start another header.
bool isSafe(const HttpHeader &header)
{
    constexpr std::string_view kLineBreaks("\r\n\0", 3);
    return header.name.find_first_of(kLineBreaks) == std::string::npos && header.value.find_first_of(kLineBreaks) == std::string::npos;
}

std::string serialize(const HttpRequest &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    const auto add
        = [&text](std::string_view name, std::string_view value) { text.append(name).append(": ").append(value).append("\r\n"); };
    for (const auto &it : request.headers) {
        if (!isHopByHop(it.name) && isSafe(it)) {
            add(it.name, it.value);
        }
    }
    add("Host", request.header("Host").value_or("localhost"));
    const bool hasBody = std::find(kMethodsWithBody.begin(), kMethodsWithBody.end(), request.method) != kMethodsWithBody.end();
    if (hasBody || !request.body.empty()) {
        add("Content-Length", std::to_string(request.body.size()));
    }
    text.append("\r\n").append(request.body);
    return text;
}

} // namespace

HttpClientConnection::HttpClientConnection(
    EventLoop &loop, const HttpClientOptions &options, ByteBudget &bodyBudget, std::string host, std::uint16_t port)
    : m_loop(loop)
    , m_options(options)
    , m_bodyBudget(bodyBudget)
    , m_host(std::move(host))
    , m_port(port)
    , m_writer(loop)
    , m_parser(options.maxHeaderBytes, options.maxBodyBytes)
    , m_idleSince(loop.clock().now())
{
}

HttpClientConnection::~HttpClientConnection()
{
    close();
}

void HttpClientConnection::start(const HttpRequest &request, Duration timeout, Done done)
{
    m_done = std::move(done);
    m_written = false;
    m_parser.begin(request.method == "HEAD");
    m_unsentRequest = serialize(request);
    m_timeout = m_loop.after(timeout, [this] { fail(ErrorCode::DeadlineExceeded, "no complete response before the deadline"); });
    if (m_established) {
        write();
        return;
    }
    m_connectTimeout
        = m_loop.after(m_options.connectTimeout, [this] { fail(ErrorCode::Unavailable, "connection not established in time"); });
    if (!connect()) {
        fail(ErrorCode::Unavailable, "connection could not be opened");
    }
}

bool HttpClientConnection::connect()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    inet_pton(AF_INET, m_host.c_str(), &address.sin_addr);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return false;
    }
    m_stream = bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        m_stream,
        [](bufferevent * /*stream*/, void *self) { static_cast<HttpClientConnection *>(self)->readResponse(); },
        nullptr,
        [](bufferevent * /*stream*/, short what, void *self) { static_cast<HttpClientConnection *>(self)->onEvent(what); },
        this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    return bufferevent_socket_connect(m_stream, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
}

void HttpClientConnection::write()
{
    m_written = true; // A write that fails may follow one that has sent a part.
    m_writer.write(std::exchange(m_unsentRequest, {}));
}

void HttpClientConnection::readResponse()
{
    if (!m_done) {
        close(); // Data without a request in progress.
        return;
    }
    auto *input = bufferevent_get_input(m_stream);
    evbuffer_iovec block{};
    while (evbuffer_peek(input, -1, nullptr, &block, 1) > 0 && block.iov_len > 0) {
        evbuffer_drain(input, m_parser.feed({ static_cast<const char *>(block.iov_base), block.iov_len }));
        if (!m_parser.error().empty()) {
            fail(ErrorCode::Unavailable, m_parser.error());
            return;
        }
        if (!takeBodyBytes()) {
            fail(ErrorCode::Unavailable, "incomplete responses together exceed the size limit");
            return;
        }
        if (m_parser.isComplete()) {
            complete();
            return;
        }
    }
}

bool HttpClientConnection::takeBodyBytes()
{
    const auto n = m_parser.bodyBytes() - m_takenBodyBytes;
    if (!m_bodyBudget.take(n)) {
        return false;
    }
    m_takenBodyBytes += n;
    return true;
}

void HttpClientConnection::releaseBodyBytes()
{
    m_bodyBudget.release(std::exchange(m_takenBodyBytes, 0));
}

void HttpClientConnection::onEvent(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        m_established = true;
        m_connectTimeout.cancel();
        m_writer.start(bufferevent_getfd(m_stream));
        write();
    } else if (!m_done) {
        close();
    } else if (!m_established) {
        fail(ErrorCode::Unavailable, "connection refused");
    } else if ((what & BEV_EVENT_EOF) != 0) {
        onStreamEnd();
    } else {
        fail(ErrorCode::Unavailable, "connection failed");
    }
}

void HttpClientConnection::onStreamEnd()
{
    if (m_writer.hasConsumedError()) {
        fail(ErrorCode::Unavailable, "connection reset before the answer was complete");
        return;
    }
    m_parser.feedEof();
    if (m_parser.isComplete()) {
        complete();
    } else {
        fail(ErrorCode::Unavailable, m_parser.error());
    }
}

void HttpClientConnection::complete()
{
    HttpResult result;
    result.verdict = Verdict::Ran;
    result.response = m_parser.take();
    result.connectionKept = keepsAlive(*result.response);
    if (!result.connectionKept) {
        close();
    }
    finish(std::move(result));
}

bool HttpClientConnection::keepsAlive(const HttpResponse &response) const
{
    // Data after the response would be read as the next response, and the rest of this request as the next request.
    const auto unread = evbuffer_get_length(bufferevent_get_input(m_stream));
    if (!m_parser.keepsAlive() || unread > 0 || !m_writer.isFinished()) {
        return false;
    }
    // Responses contain no request id, so a repeated refusal could not be distinguished from the response to the next request.
    return verdictFromString(response.header("Toucandeck-Verdict").value_or("")) != Verdict::NotRun;
}

bool HttpClientConnection::cancel()
{
    m_done = nullptr;
    m_timeout.cancel();
    releaseBodyBytes();
    close();
    return m_written;
}

void HttpClientConnection::fail(ErrorCode code, std::string error)
{
    HttpResult result;
    result.verdict = m_written ? Verdict::MayHaveRun : Verdict::NotRun;
    result.code = code;
    result.error = std::move(error);
    close();
    finish(std::move(result));
}

void HttpClientConnection::finish(HttpResult result)
{
    m_timeout.cancel();
    releaseBodyBytes();
    m_idleSince = m_loop.clock().now();
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done(std::move(result));
    }
}

void HttpClientConnection::close()
{
    m_connectTimeout.cancel();
    m_established = false;
    m_writer.stop();
    if (m_stream != nullptr) {
        bufferevent_free(std::exchange(m_stream, nullptr));
    }
}

bool HttpClientConnection::isUsable() const
{
    if (m_stream == nullptr) {
        return false;
    }
    char buf = 0;
    const auto n = recv(bufferevent_getfd(m_stream), &buf, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

TimePoint HttpClientConnection::idleSince() const
{
    return m_idleSince;
}

} // namespace Toucandeck::internal
