#pragma once

#include "runtime/http_message.h"

#include "common/time.h"

#include <cstddef>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// Limits on the requests of a client.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 1U << 20U;
    Duration headerTimeout = std::chrono::seconds(3); ///< Time from the first byte of a request to the end of its headers.
    Duration idleTimeout = std::chrono::seconds(15); ///< Time after which an idle connection is closed.
};

namespace internal
{

/// Reason why the stream cannot be parsed any further.
enum class ParseError {
    Malformed,
    MalformedField, ///< The name of a header is no token, or its value has control bytes.
    HeadersTooLarge,
    BodyTooLarge,
};

/// Start line, headers and body of one message.
struct ParsedMessage
{
    std::string method; ///< Set for requests.
    std::string target; ///< Set for requests.
    int status = 0; ///< Set for responses.
    HttpHeaders headers;
    std::string body;
    bool keepAlive = false; ///< True if the connection may carry another message afterwards.
};

/// Incremental parser of consecutive HTTP/1.x messages in a byte stream.
class MessageParser
{
public:
    enum class Kind {
        Request,
        Response,
    };

    explicit MessageParser(Kind kind);

    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Sets the limits of each request, or of all responses since the start of an exchange together.
    /// @param maxHeaderBytes limit on the start line and headers; for responses, on everything that is neither body nor chunk size.
    void setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);

    /// Starts an exchange: the limits count from here on. For responses.
    void startExchange();

    /// Sets whether the next response has no body because it answers a HEAD request.
    void expectNoBody(bool noBody);

    /// Parses up to the end of the current message. Returns the number of bytes consumed, which is less than the size of @p data if the
    /// message ends earlier or is invalid. A response is Malformed if its status line is invalid or its status is 101, because no request
    /// asks for another protocol.
    std::size_t feed(std::string_view data);

    /// Handles the end of the stream, which completes a message that is delimited by the end of the connection.
    void feedEof();

    /// Returns each completed message once; empty if no message is complete.
    std::optional<ParsedMessage> take();

    const std::optional<ParseError> &error() const;

    /// Memory that the body of the current message occupies.
    std::size_t bodyCapacity() const;

    /// Memory that the current message occupies, in bytes: fields and the buffer of the body.
    std::size_t memory() const;

    /// Frees the current message; the stream cannot be parsed any further.
    void discard();

    /// True from the first byte of a message until take() returns it.
    bool isInMessage() const;
    /// True once the headers of the current message are complete.
    bool hasHeaders() const;
    /// True if the client waits for "100 Continue" before it sends the body of the current message.
    bool expectsContinue() const;

private:
    static MessageParser &self(http_parser *parser);
    static int onBegin(http_parser *parser);
    static int onUrl(http_parser *parser, const char *data, std::size_t n);
    static int onField(http_parser *parser, const char *data, std::size_t n);
    static int onValue(http_parser *parser, const char *data, std::size_t n);
    static int onHeadersComplete(http_parser *parser);
    /// Grows the buffer of the body; not beyond the announced length.
    void reserveBody(std::size_t n);
    static int onChunkHeader(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t n);
    static int onComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    std::size_t feedPart(std::string_view data);
    void readStatusLine(std::string_view data);
    /// True if the body has a transfer encoding other than a single "chunked".
    bool hasUnsupportedEncoding() const;
    int countHeaderBytes(std::size_t n);
    void updateError();
    void checkExchangeLimits();
    bool announcesTooLargeBody() const;

    http_parser m_parser{};
    std::size_t m_maxHeaderBytes;
    std::size_t m_maxBodyBytes;
    std::size_t m_headerBytes = 0; ///< Of the current message.
    std::size_t m_receivedBytes = 0; ///< Since the start of the exchange, as are the next two.
    std::size_t m_bodyBytes = 0;
    std::size_t m_chunks = 0; ///< Without empty ones.
    std::string m_statusLine; ///< Start of the status line of the current response.
    bool m_inStatusLine; ///< The end of the status line has not arrived. False for requests.
    ParsedMessage m_message;
    bool m_inMessage = false;
    bool m_hasHeaders = false;
    bool m_inValue = false;
    bool m_complete = false;
    bool m_noBody = false;
    std::optional<ParseError> m_error;
};

} // namespace internal

} // namespace Toucandeck
