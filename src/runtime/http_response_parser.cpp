#include "runtime/http_response_parser.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace Toucandeck::internal
{

namespace
{

constexpr std::string_view kMalformed = "malformed answer";
constexpr std::string_view kTooLarge = "answer larger than the limit";
constexpr std::string_view kIncomplete = "connection closed before the answer was complete";

/// Bounds the memory of many short headers.
constexpr std::size_t kMaxHeaderLines = 1000;

/// Size of a chunk in 16 hexadecimal digits and the line break.
constexpr std::size_t kMaxChunkSizeBytes = 18;

constexpr int kSwitchingProtocols = 101;
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/// Character of a header name (RFC 9110, 5.6.2).
bool isTokenCharacter(char c)
{
    constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || kSymbols.find(c) != std::string_view::npos;
}

bool isControlCharacter(char c)
{
    constexpr unsigned char kSpace = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    const auto code = static_cast<unsigned char>(c);
    return (code < kSpace && c != '\t') || code == kDelete;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view kBlanks = " \t";
    const auto begin = std::min(text.find_first_not_of(kBlanks), text.size());
    const auto end = text.find_last_not_of(kBlanks);
    return end == std::string_view::npos ? std::string_view() : text.substr(begin, end + 1 - begin);
}

/// Unsigned number without sign or prefix; empty for any other text.
std::optional<std::size_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::ptrdiff_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    return std::count_if(headers.begin(), headers.end(), [name](const auto &it) { return equalHeaderNames(it.name, name); });
}

} // namespace

HttpResponseParser::HttpResponseParser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    : m_maxHeaderBytes(maxHeaderBytes)
    , m_maxBodyBytes(maxBodyBytes)
{
}

void HttpResponseParser::begin(bool isHeadRequest)
{
    m_response = {};
    m_error.clear();
    m_line.clear();
    m_onLine = &HttpResponseParser::onStatusLine;
    m_headerBytes = 0;
    m_bodyRemaining = 0;
    m_isHeadRequest = isHeadRequest;
    m_isChunked = false;
    m_endsWithStream = false;
    m_keepsAlive = false;
    m_isComplete = false;
}

std::size_t HttpResponseParser::feed(std::string_view data)
{
    std::size_t n = 0;
    while (n < data.size() && !m_isComplete && m_error.empty()) {
        const auto rest = data.substr(n);
        n += m_onLine != nullptr ? feedLine(rest) : feedBody(rest);
    }
    return n;
}

void HttpResponseParser::feedEof()
{
    if (m_isComplete || !m_error.empty()) {
        return;
    }
    if (m_endsWithStream) {
        m_isComplete = true;
    } else {
        fail(kIncomplete);
    }
}

std::size_t HttpResponseParser::feedLine(std::string_view data)
{
    const auto end = data.find('\n');
    const auto n = end == std::string_view::npos ? data.size() : end + 1;
    m_line.append(data, 0, n);
    if (m_line.size() > m_maxHeaderBytes - m_headerBytes) {
        fail(kTooLarge);
        return n;
    }
    if (end == std::string_view::npos) {
        return n;
    }
    const auto line = std::exchange(m_line, {});
    m_headerBytes += line.size() - std::min(line.size(), freeLineBytes());
    const auto length = line.ends_with("\r\n") ? line.size() - 2 : line.size() - 1;
    (this->*m_onLine)(std::string_view(line).substr(0, length));
    return n;
}

std::size_t HttpResponseParser::freeLineBytes() const
{
    // The limit on the body bounds the number of chunks, so their sizes are not counted; chunk extensions are.
    const bool isChunkLine = m_onLine == &HttpResponseParser::onChunkSizeLine || m_onLine == &HttpResponseParser::onChunkEndLine;
    return isChunkLine ? kMaxChunkSizeBytes : 0;
}

std::size_t HttpResponseParser::feedBody(std::string_view data)
{
    const auto n = std::min(data.size(), m_bodyRemaining);
    if (n > m_maxBodyBytes - m_response.body.size()) {
        fail(kTooLarge);
        return n;
    }
    m_response.body.append(data, 0, n);
    if (m_endsWithStream) {
        return n;
    }
    m_bodyRemaining -= n;
    if (m_bodyRemaining == 0) {
        m_onLine = &HttpResponseParser::onChunkEndLine;
        m_isComplete = !m_isChunked;
    }
    return n;
}

void HttpResponseParser::onStatusLine(std::string_view line)
{
    constexpr std::string_view kStart = "HTTP/1.";
    constexpr std::size_t kStatusAt = kStart.size() + 2;
    constexpr std::size_t kStatusEnd = kStatusAt + 3;
    constexpr int kMinStatus = 100;
    constexpr int kMaxStatus = 599;
    const bool valid = line.size() >= kStatusEnd && line.starts_with(kStart) && isDigit(line[kStart.size()]) && line[kStatusAt - 1] == ' '
        && (line.size() == kStatusEnd || line[kStatusEnd] == ' ');
    const auto status = valid ? parseNumber(line.substr(kStatusAt, kStatusEnd - kStatusAt), 10) : std::nullopt;
    if (!status || *status < kMinStatus || *status > kMaxStatus) {
        fail(kMalformed);
        return;
    }
    m_isHttp11 = line[kStart.size()] != '0';
    m_response.status = static_cast<int>(*status);
    m_onLine = &HttpResponseParser::onHeaderLine;
}

void HttpResponseParser::onHeaderLine(std::string_view line)
{
    auto &headers = m_response.headers;
    if (line.empty()) {
        onHeadersComplete();
        return;
    }
    const bool isContinuation = line.front() == ' ' || line.front() == '\t';
    const auto colon = line.find(':');
    const auto name = line.substr(0, std::min(colon, line.size()));
    const bool hasName = colon != std::string_view::npos && !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
    if ((isContinuation ? headers.empty() : !hasName) || std::any_of(line.begin(), line.end(), isControlCharacter)) {
        fail(kMalformed);
        return;
    }
    if (isContinuation) {
        headers.back().value.append(" ").append(trimmed(line));
        return;
    }
    if (headers.size() == kMaxHeaderLines) {
        fail(kTooLarge);
        return;
    }
    headers.push_back({ std::string(name), std::string(trimmed(line.substr(colon + 1))) });
}

void HttpResponseParser::onHeadersComplete()
{
    const int status = m_response.status;
    if (status == kSwitchingProtocols) {
        fail(kMalformed);
        return;
    }
    if (status < kOk) {
        m_response.headers.clear();
        m_onLine = &HttpResponseParser::onStatusLine;
        return;
    }
    m_keepsAlive = m_isHttp11 && !hasConnectionOption("close");
    if (m_isHeadRequest || status == kNoContent || status == kNotModified) {
        m_isComplete = true;
        return;
    }
    selectFraming();
}

void HttpResponseParser::selectFraming()
{
    const auto &headers = m_response.headers;
    const auto lengths = countHeaders(headers, "Content-Length");
    const auto codings = countHeaders(headers, "Transfer-Encoding");
    if (lengths + codings > 1) {
        fail(kMalformed);
        return;
    }
    if (codings == 1) {
        m_isChunked = m_isHttp11 && equalHeaderNames(*findHeader(headers, "Transfer-Encoding"), "chunked");
        m_onLine = &HttpResponseParser::onChunkSizeLine;
        if (!m_isChunked) {
            fail(kMalformed);
        }
        return;
    }
    if (lengths == 1) {
        const auto length = parseNumber(*findHeader(headers, "Content-Length"), 10);
        if (!length) {
            fail(kMalformed);
            return;
        }
        readBody(*length);
        m_isComplete = m_bodyRemaining == 0;
        return;
    }
    // A server that keeps the connection open has to state a length.
    if (hasConnectionOption("keep-alive")) {
        fail(kMalformed);
        return;
    }
    m_endsWithStream = true;
    m_keepsAlive = false;
    m_bodyRemaining = std::numeric_limits<std::size_t>::max();
    m_onLine = nullptr;
}

void HttpResponseParser::readBody(std::size_t n)
{
    if (n > m_maxBodyBytes - m_response.body.size()) {
        fail(kTooLarge);
        return;
    }
    m_bodyRemaining = n;
    m_onLine = nullptr;
}

void HttpResponseParser::onChunkSizeLine(std::string_view line)
{
    const auto size = parseNumber(trimmed(line.substr(0, line.find(';'))), 16);
    if (!size) {
        fail(kMalformed);
    } else if (*size == 0) {
        m_onLine = &HttpResponseParser::onTrailerLine;
    } else {
        readBody(*size);
    }
}

void HttpResponseParser::onChunkEndLine(std::string_view line)
{
    if (!line.empty()) {
        fail(kMalformed);
        return;
    }
    m_onLine = &HttpResponseParser::onChunkSizeLine;
}

void HttpResponseParser::onTrailerLine(std::string_view line)
{
    m_isComplete = line.empty();
}

bool HttpResponseParser::hasConnectionOption(std::string_view option) const
{
    for (const auto &it : m_response.headers) {
        if (!equalHeaderNames(it.name, "Connection")) {
            continue;
        }
        std::string_view rest = it.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            if (equalHeaderNames(trimmed(rest.substr(0, comma)), option)) {
                return true;
            }
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

void HttpResponseParser::fail(std::string_view error)
{
    m_error = error;
}

bool HttpResponseParser::isComplete() const
{
    return m_isComplete && m_error.empty();
}

const std::string &HttpResponseParser::error() const
{
    return m_error;
}

bool HttpResponseParser::keepsAlive() const
{
    return m_keepsAlive;
}

std::size_t HttpResponseParser::bodyBytes() const
{
    return m_response.body.size();
}

HttpResponse HttpResponseParser::take()
{
    return std::exchange(m_response, {});
}

} // namespace Toucandeck::internal
