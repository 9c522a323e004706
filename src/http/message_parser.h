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

/// Bounds on what a client may send.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 1U << 20U;
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its headers.
    Duration idleTimeout = std::chrono::seconds(15); ///< Of a connection without a request.
};

namespace internal
{

/// Why parsing stopped for good.
enum class ParseError {
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
};

/// Start line, headers and body of one message.
struct ParsedMessage
{
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    int status = 0; ///< Of a response.
    HttpHeaders headers;
    std::string body;
    bool keepAlive = false; ///< The connection may carry another message afterwards.
};

/// Reads HTTP/1.x messages one after the other from a byte stream.
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

    void setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);

    /// The next response answers a HEAD request and has no body.
    void expectNoBody(bool noBody);

    /// Reads up to the end of the next message; returns the number of bytes taken. Stops early at the end of a message.
    std::size_t feed(std::string_view data);

    /// The stream has ended; completes a message whose end is the end of the connection.
    void feedEnd();

    /// The message that feed() has completed, at most once for each.
    std::optional<ParsedMessage> take();

    const std::optional<ParseError> &error() const;

    /// True from the first byte of a message to its end.
    bool isInMessage() const;
    /// True after the headers of the message in progress.
    bool hasHeaders() const;
    /// The message in progress waits for "100 Continue" before it sends its body.
    bool expectsContinue() const;

private:
    static MessageParser &self(http_parser *parser);
    static int onBegin(http_parser *parser);
    static int onUrl(http_parser *parser, const char *data, std::size_t n);
    static int onField(http_parser *parser, const char *data, std::size_t n);
    static int onValue(http_parser *parser, const char *data, std::size_t n);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t n);
    static int onComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    int countHeaderBytes(std::size_t n);
    void noteResult();

    http_parser m_parser{};
    std::size_t m_maxHeaderBytes;
    std::size_t m_maxBodyBytes;
    std::size_t m_headerBytes = 0;
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
