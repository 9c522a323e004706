#include "http/pipelined_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <sys/socket.h>

namespace Toucandeck::internal
{

namespace
{

constexpr std::size_t kMaxPipelined = 64; ///< Maximum requests in progress per connection; further requests remain unparsed.
constexpr std::size_t kMaxUnreadBytes = 256U << 10U; ///< Of responses; further requests remain unparsed until they are sent.
constexpr std::size_t kMaxInputBytes = 64U << 10U; ///< Not parsed; reading stops above it.
constexpr std::chrono::seconds kRetryAfter{ 1 }; ///< For requests refused for lack of memory.
constexpr std::chrono::seconds kLingerTime{ 1 }; ///< Closing a socket with unread data resets the connection, which can lose the response.

} // namespace

PipelinedConnection::PipelinedConnection(PipelinedServer &server, int descriptor)
    : m_server(server)
    , m_stream(bufferevent_socket_new(server.m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , m_parser(MessageParser::Kind::Request)
    , m_lastActive(server.m_loop.clock().now())
    , m_lastRead(m_lastActive)
{
    bufferevent_setwatermark(m_stream, EV_READ, 0, kMaxInputBytes);
    bufferevent_setcb(m_stream, &PipelinedConnection::onRead, &PipelinedConnection::onWrite, &PipelinedConnection::onEvent, this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

PipelinedConnection::~PipelinedConnection()
{
    close();
}

void PipelinedConnection::close()
{
    if (m_stream != nullptr) {
        bufferevent_free(m_stream);
        m_stream = nullptr;
    }
    if (m_server.m_memory) {
        m_server.m_memory->set(*this, 0);
    }
}

bool PipelinedConnection::isIdle() const
{
    return m_stream == nullptr
        || (m_slots.empty() && !m_parser.isInMessage() && evbuffer_get_length(bufferevent_get_output(m_stream)) == 0);
}

TimePoint PipelinedConnection::lastActive() const
{
    return m_lastActive;
}

std::size_t PipelinedConnection::receivedMemory() const
{
    return m_stream == nullptr ? 0 : m_parser.memory() + evbuffer_get_length(bufferevent_get_input(m_stream));
}

std::size_t PipelinedConnection::unreadMemory() const
{
    return m_stream == nullptr ? 0 : m_queuedBytes + evbuffer_get_length(bufferevent_get_output(m_stream));
}

void PipelinedConnection::updateMemory()
{
    if (m_server.m_memory && m_stream != nullptr && !m_server.m_memory->set(*this, receivedMemory() + unreadMemory())) {
        m_server.m_memory->set(*this, 0);
        giveWay();
    }
}

void PipelinedConnection::giveWay()
{
    if (m_parser.isInMessage() && !m_noMoreRequests && receivedMemory() > unreadMemory()) {
        refuse(503, "there is no memory for the request at present");
    } else {
        abandon();
    }
}

bool PipelinedConnection::isClosed() const
{
    return m_stream == nullptr;
}

std::size_t PipelinedConnection::unfinishedRequests() const
{
    const bool writing = m_stream != nullptr && !m_lingerSince && evbuffer_get_length(bufferevent_get_output(m_stream)) > 0;
    return m_slots.size() + (writing ? 1 : 0);
}

bool PipelinedConnection::isLingering() const
{
    return m_stream != nullptr && m_lingerSince;
}

void PipelinedConnection::onRead(bufferevent * /*stream*/, void *self)
{
    const auto connection = static_cast<PipelinedConnection *>(self)->shared_from_this();
    connection->readRequests();
}

void PipelinedConnection::onWrite(bufferevent * /*stream*/, void *self)
{
    const auto connection = static_cast<PipelinedConnection *>(self)->shared_from_this();
    connection->finishWriting();
    connection->readRequests();
}

void PipelinedConnection::onEvent(bufferevent * /*stream*/, short what, void *self)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        const auto connection = static_cast<PipelinedConnection *>(self)->shared_from_this();
        connection->abandon();
    }
}

void PipelinedConnection::abandon()
{
    close();
    m_queuedBytes = 0;
    auto slots = std::exchange(m_slots, {});
    for (const auto &it : slots) {
        const auto exchange = it.weakExchange.lock();
        if (exchange && !exchange->m_answered && exchange->m_disconnectHandler) {
            std::exchange(exchange->m_disconnectHandler, nullptr)();
        }
    }
}

bool PipelinedConnection::mayReadRequests() const
{
    return m_stream != nullptr && !m_noMoreRequests && m_slots.size() < kMaxPipelined && unreadMemory() <= kMaxUnreadBytes;
}

void PipelinedConnection::readRequests()
{
    while (mayReadRequests() && readRequest()) { }
    if (m_stream != nullptr && m_noMoreRequests) {
        auto *in = bufferevent_get_input(m_stream);
        evbuffer_drain(in, evbuffer_get_length(in));
    }
    updateMemory();
}

bool PipelinedConnection::readRequest()
{
    auto *in = bufferevent_get_input(m_stream);
    evbuffer_iovec chunk{};
    if (evbuffer_peek(in, -1, nullptr, &chunk, 1) < 1 || chunk.iov_len == 0) {
        return false;
    }
    if (!m_parser.isInMessage()) {
        const auto limits = m_server.m_limitsProvider();
        m_parser.setLimits(limits.maxHeaderBytes, limits.maxBodyBytes);
        m_lastActive = m_server.m_loop.clock().now();
        m_sentContinue = false;
    }
    const auto n = m_parser.feed({ static_cast<const char *>(chunk.iov_base), chunk.iov_len });
    evbuffer_drain(in, n);
    if (m_parser.hasHeaders()) {
        m_lastActive = m_server.m_loop.clock().now();
    }
    if (m_parser.error()) {
        refuseMalformed(*m_parser.error());
        return false;
    }
    if (!m_sentContinue && m_parser.expectsContinue()) {
        m_sentContinue = true;
        bufferevent_write(m_stream, "HTTP/1.1 100 Continue\r\n\r\n", 25);
        m_writtenBytes += 25;
    }
    if (auto message = m_parser.take()) {
        startRequest(std::move(*message));
    }
    return true;
}

std::unique_ptr<RequestMemory::Reservation> PipelinedConnection::reserve(const HttpRequest &request)
{
    if (!m_server.m_memory) {
        return nullptr;
    }
    m_server.m_memory->set(*this, 0); // Until all of the input has been processed, so that the request is not counted twice.
    std::size_t bytes = request.target.capacity() + request.headers.capacity() * sizeof(HttpHeader) + request.body.size();
    for (const auto &it : request.headers) {
        bytes += it.name.size() + it.value.size();
    }
    return m_server.m_memory->reserve(bytes);
}

void PipelinedConnection::startRequest(ParsedMessage message)
{
    const auto now = m_server.m_loop.clock().now();
    HttpRequest request{ std::move(message.method), std::move(message.target), std::move(message.headers), std::move(message.body) };
    const bool head = request.method == "HEAD";
    auto reservation = reserve(request);
    if (m_server.m_memory && !reservation) {
        refuse(503, "there is no memory for the request at present");
        return;
    }
    const auto exchange = std::make_shared<HttpExchange>(weak_from_this(), std::move(request), now);
    exchange->m_reservation = std::move(reservation);
    m_slots.push_back({ exchange.get(), exchange, head, message.keepAlive, std::nullopt });
    m_hadRequest = true;
    if (!message.keepAlive) {
        m_noMoreRequests = true;
    }
    m_server.m_handler(exchange);
}

void PipelinedConnection::refuseMalformed(ParseError error)
{
    switch (error) {
    case ParseError::HeadersTooLarge:
        refuse(431, "the request headers are larger than the limit");
        return;
    case ParseError::BodyTooLarge:
        refuse(413, "the request body is larger than the limit");
        return;
    case ParseError::Malformed:
    case ParseError::MalformedField:
        refuse(400, "the request is not valid HTTP/1.1");
        return;
    }
}

void PipelinedConnection::refuse(int status, const char *text)
{
    HttpResponse response;
    response.status = status;
    response.body = fmt::format("{}\n", text);
    if (status == 503) {
        response.headers.push_back({ "Retry-After", std::to_string(kRetryAfter.count()) });
    }
    m_parser.discard();
    m_slots.push_back({ nullptr, {}, false, false, std::move(response) });
    m_noMoreRequests = true;
    writeResponses();
}

void PipelinedConnection::respond(const HttpExchange &exchange, HttpResponse response)
{
    for (auto &it : m_slots) {
        if (it.exchange == &exchange) {
            m_queuedBytes += response.body.size();
            it.response = std::move(response);
            break;
        }
    }
    writeResponses();
    updateMemory();
}

void PipelinedConnection::onExchangeDropped(const HttpExchange & /*exchange*/)
{
    abandon();
}

void PipelinedConnection::writeResponses()
{
    while (m_stream != nullptr && !m_slots.empty() && m_slots.front().response) {
        const auto slot = std::move(m_slots.front());
        m_slots.pop_front();
        m_queuedBytes -= slot.exchange != nullptr ? slot.response->body.size() : 0;
        const bool last = m_slots.empty() && (m_noMoreRequests || (m_server.m_draining && !hasUnreadInput()));
        write(slot, last || !slot.keepAlive);
        m_lastActive = m_server.m_loop.clock().now();
        m_noMoreRequests = m_noMoreRequests || last;
    }
    const bool unread = m_stream != nullptr && evbuffer_get_length(bufferevent_get_input(m_stream)) > 0;
    if (unread && !m_noMoreRequests) {
        m_server.m_loop.runSoon([self = weak_from_this()] {
            if (const auto connection = self.lock()) {
                connection->readRequests();
            }
        });
    }
}

void PipelinedConnection::write(const Slot &slot, bool last)
{
    const auto &response = *slot.response;
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", response.status, reasonPhrase(response.status));
    for (const auto &it : response.headers) {
        if (!isHopByHop(it.name) && !equalHeaderNames(it.name, "Content-Length")) {
            head += fmt::format("{}: {}\r\n", it.name, it.value);
        }
    }
    const bool bodyless = response.status == 204 || response.status == 304;
    if (slot.headRequest) {
        const auto length = response.header("Content-Length");
        head += fmt::format("Content-Length: {}\r\n", length ? std::string(*length) : std::to_string(response.body.size()));
    } else if (!bodyless) {
        head += fmt::format("Content-Length: {}\r\n", response.body.size());
    }
    head += last ? "Connection: close\r\n\r\n" : "\r\n";
    bufferevent_write(m_stream, head.data(), head.size());
    m_writtenBytes += head.size();
    if (!bodyless && !slot.headRequest) {
        bufferevent_write(m_stream, response.body.data(), response.body.size());
        m_writtenBytes += response.body.size();
    }
}

void PipelinedConnection::finishWriting()
{
    const bool finished = m_stream != nullptr && m_noMoreRequests && m_slots.empty() && !m_lingerSince;
    if (!finished || evbuffer_get_length(bufferevent_get_output(m_stream)) > 0) {
        return;
    }
    ::shutdown(bufferevent_getfd(m_stream), SHUT_WR);
    m_lingerSince = m_server.m_loop.clock().now();
}

bool PipelinedConnection::hasUnreadInput() const
{
    char next = 0;
    return m_parser.isInMessage() || evbuffer_get_length(bufferevent_get_input(m_stream)) > 0
        || ::recv(bufferevent_getfd(m_stream), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0;
}

void PipelinedConnection::closeIfIdle()
{
    if (m_stream != nullptr && m_hadRequest && m_slots.empty() && !hasUnreadInput()) {
        m_noMoreRequests = true;
        finishWriting();
    }
}

void PipelinedConnection::checkReading(const HttpLimits &limits)
{
    const auto now = m_server.m_loop.clock().now();
    const auto unread = evbuffer_get_length(bufferevent_get_output(m_stream));
    const auto read = m_writtenBytes - unread;
    if (unread == 0 || read > m_readBytes) {
        m_readBytes = read;
        m_lastRead = now;
    } else if (now - m_lastRead >= limits.idleTimeout) {
        abandon();
    }
}

void PipelinedConnection::checkTimeouts(const HttpLimits &limits)
{
    if (m_stream == nullptr) {
        return;
    }
    const auto now = m_server.m_loop.clock().now();
    if (m_lingerSince) {
        if (now - *m_lingerSince >= kLingerTime) {
            close();
        }
        return;
    }
    checkReading(limits);
    updateMemory();
    if (m_stream == nullptr) {
        return;
    }
    const auto inactiveTime = now - m_lastActive;
    if (m_parser.isInMessage()) {
        const auto limit = m_parser.hasHeaders() ? limits.idleTimeout : limits.headerTimeout;
        if (inactiveTime >= limit && !m_noMoreRequests) {
            refuse(408, "the request was not received in time");
        }
    } else if (m_slots.empty() && inactiveTime >= limits.idleTimeout) {
        m_noMoreRequests = true;
        finishWriting();
    }
}

} // namespace Toucandeck::internal
