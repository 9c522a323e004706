// Guards against request smuggling, limits that are not enforced, and truncated responses accepted as complete.
#include "http/message_parser.h"

#include "runtime/header_lines.h"
#include "runtime/status_lines.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using internal::MessageParser;
using internal::ParseError;

namespace
{

/// Feeds the text in pieces of at most @p piece bytes and returns the bodies of its messages.
std::vector<std::string> bodiesOf(const std::string &text, std::size_t piece)
{
    MessageParser parser(MessageParser::Kind::Request);
    std::vector<std::string> bodies;
    for (std::size_t at = 0; at < text.size();) {
        const auto n = parser.feed(std::string_view(text).substr(at, piece));
        at += n;
        if (const auto message = parser.take()) {
            bodies.push_back(message->body);
        } else if (n == 0) {
            break;
        }
    }
    return bodies;
}

/// Feeds the text in pieces of at most @p piece bytes.
void feedInPieces(MessageParser &parser, const std::string &text, std::size_t piece)
{
    std::size_t n = 1;
    for (std::size_t at = 0; at < text.size() && n > 0; at += n) {
        n = parser.feed(std::string_view(text).substr(at, piece));
    }
}

} // namespace

TEST(MessageParser, ReadsPipelinedRequestsOneAtATime)
{
    const std::string text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    MessageParser parser(MessageParser::Kind::Request);
    const auto n = parser.feed(text);
    EXPECT_EQ(parser.take()->target, "/a");
    parser.feed(std::string_view(text).substr(n));
    EXPECT_EQ(parser.take()->target, "/b");
}

RC_GTEST_PROP(MessageParser, FindsTheSameMessagesInWhateverPiecesTheyCome, ())
{
    const auto piece = *rc::gen::inRange<std::size_t>(1, 60);
    const std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
                             "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
                             "GET /c HTTP/1.1\r\nHost: h\r\n\r\n";
    RC_ASSERT(bodiesOf(text, piece) == std::vector<std::string>({ "abc", "def", "" }));
}

TEST(MessageParser, RefusesALengthBesideChunks)
{
    MessageParser parser(MessageParser::Kind::Request);
    parser.feed("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_EQ(parser.error(), ParseError::Malformed);
}

TEST(MessageParser, BoundsHeaders)
{
    MessageParser parser(MessageParser::Kind::Request);
    parser.setLimits(100, 1000);
    parser.feed("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
    EXPECT_EQ(parser.error(), ParseError::HeadersTooLarge);
}

TEST(MessageParser, BoundsBodies)
{
    MessageParser parser(MessageParser::Kind::Request);
    parser.setLimits(1000, 10);
    parser.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nabcdefghijk");
    EXPECT_EQ(parser.error(), ParseError::BodyTooLarge);
}

TEST(MessageParser, EndsAnAnswerWithoutLengthWithItsConnection)
{
    MessageParser parser(MessageParser::Kind::Response);
    parser.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    EXPECT_FALSE(parser.take());
    parser.feedEof();
    const auto message = parser.take();
    ASSERT_TRUE(message);
    EXPECT_EQ(message->body, "abc");
    EXPECT_FALSE(message->keepAlive);
}

TEST(MessageParser, NeverCompletesACutAnswer)
{
    MessageParser parser(MessageParser::Kind::Response);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    parser.feedEof();
    EXPECT_FALSE(parser.take());
}

TEST(MessageParser, SkipsInterimAnswers)
{
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    MessageParser parser(MessageParser::Kind::Response);
    const auto n = parser.feed(text);
    parser.feed(std::string_view(text).substr(n));
    EXPECT_EQ(parser.take()->status, 200);
}

RC_GTEST_PROP(MessageParser, SurvivesAnyBytes, (const std::vector<char> &bytes))
{
    MessageParser parser(MessageParser::Kind::Request);
    parser.feed({ bytes.data(), bytes.size() });
    parser.feedEof();
    RC_SUCCEED("no crash");
}

// Guards against a status that no client can interpret, or the data after an unrequested switch of protocols, delivered as a response.
TEST(MessageParser, RefusesInvalidStatusLinesInWhateverPiecesTheyCome)
{
    for (const auto &line : invalidStatusLines()) {
        for (const std::size_t piece : { std::size_t(1), std::size_t(7), line.text.size() }) {
            MessageParser parser(MessageParser::Kind::Response);
            parser.startExchange();
            feedInPieces(parser, line.text, piece);
            EXPECT_TRUE(parser.error()) << line.reason << " in pieces of " << piece;
            EXPECT_FALSE(parser.take()) << line.reason << " in pieces of " << piece;
        }
    }
}

// http_parser takes a blank for a part of a name. The response was delivered with that line, or its body with the length in it.
TEST(MessageParser, RefusesHeaderNamesThatAreNoTokensInWhateverPiecesTheyCome)
{
    for (const auto &line : invalidHeaderLines()) {
        for (const std::string start : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n" }) {
            const auto text = start + line.text + "Content-Length: 2\r\n\r\nok";
            for (const std::size_t piece : { std::size_t(1), std::size_t(7), text.size() }) {
                MessageParser parser(MessageParser::Kind::Response);
                feedInPieces(parser, text, piece);
                parser.feedEof();
                EXPECT_TRUE(parser.error()) << start << line.reason << " in pieces of " << piece;
                EXPECT_FALSE(parser.take()) << start << line.reason << " in pieces of " << piece;
            }
        }
    }
}

// A request with such a name was passed on with it. RFC 9112, 5.1 has it refused.
TEST(MessageParser, RefusesRequestsWithABlankInAHeaderName)
{
    for (const std::string line : { "X Y: 1\r\n", "X : 1\r\n", "Content-Length : 2\r\n" }) {
        MessageParser parser(MessageParser::Kind::Request);
        parser.feed("POST / HTTP/1.1\r\nHost: h\r\n" + line + "\r\nok");
        EXPECT_EQ(parser.error(), ParseError::MalformedField) << line;
    }
}

TEST(MessageParser, TakesUnusualHeaderNames)
{
    for (const auto &name : unusualHeaderNames()) {
        MessageParser parser(MessageParser::Kind::Response);
        parser.feed("HTTP/1.1 200 OK\r\n" + name + ": a b\r\n c\r\nContent-Length: 2\r\n\r\nok");
        const auto message = parser.take();
        ASSERT_TRUE(message) << name;
        EXPECT_EQ(findHeader(message->headers, name), "a b c") << name;
        EXPECT_EQ(message->body, "ok") << name;
    }
}

TEST(MessageParser, TakesUnusualStatuses)
{
    for (const int status : unusualStatuses()) {
        for (const std::string reason : { " Some \xe9 reason", " ", "" }) {
            MessageParser parser(MessageParser::Kind::Response);
            parser.feed("HTTP/1.1 " + std::to_string(status) + reason + "\r\nContent-Length: 2\r\n\r\nok");
            const auto message = parser.take();
            ASSERT_TRUE(message) << status << reason;
            EXPECT_EQ(message->status, status);
        }
    }
}
