#pragma once

#include "runtime/http_message.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Toucandeck::internal
{

/// Incremental parser of HTTP/1.x responses (RFC 9112) to one request after another. Rejects what could be read in two ways: several
/// lengths, a length beside a transfer coding, a coding other than chunked, numbers with a sign or prefix. Discards interim responses and
/// trailer fields.
class HttpResponseParser
{
public:
    /// @param maxHeaderBytes limit on all bytes of a response outside of its body, interim responses included.
    HttpResponseParser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);

    /// Prepares for the response to a request; one to a HEAD request has no body.
    void begin(bool isHeadRequest);

    /// Parses up to the end of the response. Returns the number of bytes consumed, which is less than the size of @p data if the response
    /// ends earlier or is invalid.
    std::size_t feed(std::string_view data);

    /// Handles the end of the stream. Completes a response without a length; any other incomplete response becomes invalid.
    void feedEof();

    bool isComplete() const;
    /// Why the response is invalid; empty while it is not.
    const std::string &error() const;
    /// True if the complete response lets the connection carry another one.
    bool keepsAlive() const;
    /// Size of the body received so far.
    std::size_t bodyBytes() const;
    /// Returns the complete response.
    HttpResponse take();

private:
    using LineHandler = void (HttpResponseParser::*)(std::string_view line);

    std::size_t feedLine(std::string_view data);
    /// Bytes of the current line that do not count towards the limit.
    std::size_t freeLineBytes() const;
    std::size_t feedBody(std::string_view data);
    void onStatusLine(std::string_view line);
    void onHeaderLine(std::string_view line);
    void onChunkSizeLine(std::string_view line);
    void onChunkEndLine(std::string_view line);
    void onTrailerLine(std::string_view line);
    void onHeadersComplete();
    void selectFraming();
    void readBody(std::size_t n);
    bool hasConnectionOption(std::string_view option) const;
    void fail(std::string_view error);

    std::size_t m_maxHeaderBytes;
    std::size_t m_maxBodyBytes;
    HttpResponse m_response;
    std::string m_error;
    std::string m_line; ///< Start of a line whose end has not arrived.
    LineHandler m_onLine = nullptr; ///< Handles the next line; null while the body is read.
    std::size_t m_headerBytes = 0;
    std::size_t m_bodyRemaining = 0; ///< Of the body or of the current chunk.
    bool m_isHeadRequest = false;
    bool m_isHttp11 = false;
    bool m_isChunked = false;
    bool m_endsWithStream = false; ///< The body has no length.
    bool m_keepsAlive = false;
    bool m_isComplete = false;
};

} // namespace Toucandeck::internal
