#include "http/message_parser.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Toucandeck::internal
{

namespace
{

constexpr std::size_t kChunkFramingBytes = 16; ///< Not counted as header bytes: the size and line ends of a chunk.

constexpr std::size_t kStatusLineBytes = 14; ///< Stored of a status line: up to the end of "HTTP/1.1 200" and a line break.

bool isInterim(int status)
{
    return status >= 100 && status < 200;
}

/// True for "HTTP/1.x" and a status of three digits from 100 to 599 other than 101. @p line is cut after kStatusLineBytes.
bool isValidStatusLine(std::string_view line)
{
    constexpr std::string_view kStart = "HTTP/1.";
    constexpr std::size_t kStatusAt = kStart.size() + 2;
    constexpr std::size_t kStatusEnd = kStatusAt + 3;
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    if (line.size() < kStatusEnd || !line.starts_with(kStart) || !isDigit(line[kStart.size()]) || line[kStatusAt - 1] != ' ') {
        return false;
    }
    const auto status = line.substr(kStatusAt, kStatusEnd - kStatusAt);
    return status[0] >= '1' && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2]) && status != "101"
        && (line.size() == kStatusEnd || line[kStatusEnd] == ' ');
}

/// True for a status whose response has no body, whatever its headers say (RFC 9112, 6.3).
bool isBodyless(int status)
{
    return isInterim(status) || status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED;
}

} // namespace

MessageParser::MessageParser(Kind kind)
    : m_maxHeaderBytes(64U << 10U)
    , m_maxBodyBytes(std::numeric_limits<std::size_t>::max())
    , m_inStatusLine(kind == Kind::Response)
{
    http_parser_init(&m_parser, kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
}

void MessageParser::setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
{
    m_maxHeaderBytes = maxHeaderBytes;
    m_maxBodyBytes = maxBodyBytes;
}

void MessageParser::startExchange()
{
    m_receivedBytes = 0;
    m_bodyBytes = 0;
    m_chunks = 0;
}

void MessageParser::expectNoBody(bool noBody)
{
    m_noBody = noBody;
}

std::size_t MessageParser::feed(std::string_view data)
{
    std::size_t n = 0;
    while (n < data.size() && !m_error && !m_complete) {
        n += feedPart(data.substr(n));
    }
    return n;
}

std::size_t MessageParser::feedPart(std::string_view data)
{
    if (HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED) {
        http_parser_pause(&m_parser, 0);
    }
    if (m_inStatusLine) {
        const auto end = data.find('\n');
        data = end == std::string_view::npos ? data : data.substr(0, end + 1);
        readStatusLine(data);
    }
    if (m_error) {
        return data.size();
    }
    const auto n = http_parser_execute(&m_parser, &callbacks(), data.data(), data.size());
    m_receivedBytes += n;
    updateError();
    checkExchangeLimits();
    return n;
}

void MessageParser::readStatusLine(std::string_view data)
{
    m_statusLine.append(data, 0, kStatusLineBytes - std::min(m_statusLine.size(), kStatusLineBytes));
    if (!data.ends_with('\n')) {
        return;
    }
    const auto line = std::string_view(m_statusLine).substr(0, m_statusLine.find_last_not_of("\r\n") + 1);
    if (!line.empty() && !isValidStatusLine(line)) {
        m_error = ParseError::Malformed;
    }
    m_inStatusLine = line.empty(); // Empty lines before a response are skipped.
    m_statusLine.clear();
}

void MessageParser::checkExchangeLimits()
{
    const auto uncounted = m_bodyBytes + m_chunks * kChunkFramingBytes;
    if (!m_error && m_parser.type == HTTP_RESPONSE && m_receivedBytes > uncounted + m_maxHeaderBytes) {
        m_error = ParseError::HeadersTooLarge;
    }
}

void MessageParser::feedEof()
{
    if (m_error || m_complete) {
        return;
    }
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    updateError();
}

void MessageParser::updateError()
{
    const auto ec = HTTP_PARSER_ERRNO(&m_parser);
    if (ec == HPE_OK || ec == HPE_PAUSED || m_error) {
        return;
    }
    switch (ec) {
    case HPE_HEADER_OVERFLOW:
        m_error = ParseError::HeadersTooLarge;
        break;
    case HPE_INVALID_HEADER_TOKEN:
        m_error = ParseError::MalformedField;
        break;
    default:
        m_error = ParseError::Malformed;
    }
}

std::optional<ParsedMessage> MessageParser::take()
{
    if (!m_complete) {
        return std::nullopt;
    }
    m_complete = false;
    m_inMessage = false;
    m_hasHeaders = false;
    return std::exchange(m_message, {});
}

const std::optional<ParseError> &MessageParser::error() const
{
    return m_error;
}

std::size_t MessageParser::bodyCapacity() const
{
    return m_message.body.capacity();
}

std::size_t MessageParser::memory() const
{
    constexpr std::size_t kTextFactor = 2; // A growing text occupies at most twice its size.
    if (!m_inMessage) {
        return 0;
    }
    return m_message.headers.capacity() * sizeof(HttpHeader) + m_headerBytes * kTextFactor + m_message.body.capacity();
}

void MessageParser::discard()
{
    m_message = {};
    m_headerBytes = 0;
    m_complete = false;
    m_error = m_error.value_or(ParseError::BodyTooLarge);
}

bool MessageParser::isInMessage() const
{
    return m_inMessage;
}

bool MessageParser::hasHeaders() const
{
    return m_hasHeaders;
}

bool MessageParser::expectsContinue() const
{
    const auto expect = findHeader(m_message.headers, "Expect");
    return m_hasHeaders && !m_complete && expect && equalHeaderNames(*expect, "100-continue");
}

MessageParser &MessageParser::self(http_parser *parser)
{
    return *static_cast<MessageParser *>(parser->data);
}

int MessageParser::countHeaderBytes(std::size_t n)
{
    m_headerBytes += n;
    if (m_headerBytes <= m_maxHeaderBytes) {
        return 0;
    }
    m_error = ParseError::HeadersTooLarge;
    return 1;
}

bool MessageParser::hasUnsupportedEncoding() const
{
    bool chunked = false;
    for (const auto &it : m_message.headers) {
        if (!equalHeaderNames(it.name, "Transfer-Encoding")) {
            continue;
        }
        const auto value = std::string_view(it.value).substr(0, it.value.find_last_not_of(" \t") + 1);
        if (chunked || !equalHeaderNames(value, "chunked")) {
            return true;
        }
        chunked = true;
    }
    return false;
}

int MessageParser::onBegin(http_parser *parser)
{
    auto &it = self(parser);
    it.m_message = {};
    it.m_headerBytes = 0;
    if (parser->type == HTTP_REQUEST) {
        it.startExchange();
    }
    it.m_inMessage = true;
    it.m_hasHeaders = false;
    it.m_inValue = false;
    return 0;
}

int MessageParser::onUrl(http_parser *parser, const char *data, std::size_t n)
{
    auto &it = self(parser);
    it.m_message.target.append(data, n);
    return it.countHeaderBytes(n);
}

int MessageParser::onField(http_parser *parser, const char *data, std::size_t n)
{
    auto &it = self(parser);
    if (it.m_hasHeaders) {
        return 0; // Trailer fields are ignored.
    }
    if (std::string_view(data, n).find(' ') != std::string_view::npos) {
        it.m_error = ParseError::MalformedField; // http_parser takes a blank for a part of the name (RFC 9112, 5.1).
        return 1;
    }
    if (it.m_inValue || it.m_message.headers.empty()) {
        it.m_message.headers.emplace_back();
        it.m_inValue = false;
    }
    it.m_message.headers.back().name.append(data, n);
    return it.countHeaderBytes(n);
}

int MessageParser::onValue(http_parser *parser, const char *data, std::size_t n)
{
    auto &it = self(parser);
    if (it.m_hasHeaders) {
        return 0;
    }
    it.m_inValue = true;
    it.m_message.headers.back().value.append(data, n);
    return it.countHeaderBytes(n);
}

int MessageParser::onHeadersComplete(http_parser *parser)
{
    auto &it = self(parser);
    it.m_hasHeaders = true;
    it.m_message.status = static_cast<int>(parser->status_code);
    if (parser->type == HTTP_REQUEST) {
        it.m_message.method = http_method_str(static_cast<http_method>(parser->method));
        // Tunnels and protocol upgrades are not supported; 2 makes the parser expect neither a body nor another message.
        return parser->upgrade != 0 ? 2 : 0;
    }
    if (it.hasUnsupportedEncoding()) {
        return -1;
    }
    if (it.m_noBody || isBodyless(it.m_message.status)) {
        return 1;
    }
    if (it.announcesTooLargeBody()) {
        it.m_error = ParseError::BodyTooLarge;
        return -1;
    }
    return 0;
}

bool MessageParser::announcesTooLargeBody() const
{
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    return hasLength && m_parser.content_length > m_maxBodyBytes - m_bodyBytes;
}

int MessageParser::onChunkHeader(http_parser *parser)
{
    self(parser).m_chunks += parser->content_length > 0 ? 1 : 0;
    return 0;
}

void MessageParser::reserveBody(std::size_t n)
{
    auto &body = m_message.body;
    if (body.size() + n <= body.capacity()) {
        return;
    }
    const auto doubled = std::max(std::min(2 * body.capacity(), m_maxBodyBytes), body.size() + n);
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    std::string grown; // reserve() of the body itself may double its buffer beyond the length.
    grown.reserve(hasLength ? std::min<std::size_t>(doubled, body.size() + n + m_parser.content_length) : doubled);
    grown.append(body);
    body.swap(grown);
}

int MessageParser::onBody(http_parser *parser, const char *data, std::size_t n)
{
    auto &it = self(parser);
    it.m_bodyBytes += n;
    if (it.m_bodyBytes > it.m_maxBodyBytes) {
        it.m_error = ParseError::BodyTooLarge;
        return 1;
    }
    it.reserveBody(n);
    it.m_message.body.append(data, n);
    return 0;
}

int MessageParser::onComplete(http_parser *parser)
{
    auto &it = self(parser);
    it.m_inStatusLine = parser->type == HTTP_RESPONSE;
    if (parser->type == HTTP_RESPONSE && isInterim(it.m_message.status)) {
        it.m_inMessage = false;
        it.m_hasHeaders = false;
        http_parser_pause(parser, 1); // The next status line is checked first.
        return 0;
    }
    it.m_complete = true;
    it.m_message.keepAlive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &MessageParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings it{};
        it.on_message_begin = &MessageParser::onBegin;
        it.on_url = &MessageParser::onUrl;
        it.on_header_field = &MessageParser::onField;
        it.on_header_value = &MessageParser::onValue;
        it.on_headers_complete = &MessageParser::onHeadersComplete;
        it.on_chunk_header = &MessageParser::onChunkHeader;
        it.on_body = &MessageParser::onBody;
        it.on_message_complete = &MessageParser::onComplete;
        return it;
    }();
    return settings;
}

} // namespace Toucandeck::internal
