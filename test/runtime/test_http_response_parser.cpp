// Guards against responses whose parsing depends on how the stream is cut into segments.
#include "runtime/http_response_parser.h"

#include "header_lines.h"
#include "status_lines.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using internal::HttpResponseParser;

namespace
{

constexpr std::size_t kMaxHeaderBytes = 200;
constexpr std::size_t kMaxBodyBytes = 40;

/// What a parser reports after it was fed segments of at most @p segment bytes and the end of the stream.
std::string outcome(const std::string &stream, std::size_t segment)
{
    HttpResponseParser parser(kMaxHeaderBytes, kMaxBodyBytes);
    parser.begin(false);
    std::size_t consumed = 0;
    for (std::size_t i = 0; i < stream.size() && !parser.isComplete() && parser.error().empty(); i += segment) {
        consumed += parser.feed(std::string_view(stream).substr(i, segment));
    }
    parser.feedEof();
    if (!parser.isComplete()) {
        return parser.error();
    }
    const auto response = parser.take();
    return std::to_string(consumed) + " " + std::to_string(response.status) + " " + response.body;
}

rc::Gen<std::string> genStream()
{
    const auto piece = rc::gen::element<std::string>("HTTP/1.1 200 OK\r\n",
                                                     "HTTP/1.1 103 Early Hints\n",
                                                     "HTTP/1.0 204\r\n",
                                                     "Content-Length: 5\r\n",
                                                     "Transfer-Encoding: chunked\r\n",
                                                     "X: y\r\n",
                                                     " z\r\n",
                                                     "\r\n",
                                                     "\n",
                                                     "5\r\n",
                                                     "5;a=b\r\n",
                                                     "hello",
                                                     "0\r\n",
                                                     "\r",
                                                     "\t",
                                                     ":",
                                                     "g");
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece), [](const std::vector<std::string> &pieces) {
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (const auto &it : pieces) {
            text += it;
        }
        return text;
    });
}

} // namespace

RC_GTEST_PROP(HttpResponseParser, OutcomeDoesNotDependOnTheSegments, ())
{
    const auto stream = *genStream();
    const auto segment = *rc::gen::inRange<std::size_t>(1, 12);
    RC_ASSERT(outcome(stream, segment) == outcome(stream, stream.size()));
}

RC_GTEST_PROP(HttpResponseParser, AnyBytesAreParsedOrRejected, (const std::string &bytes))
{
    outcome(bytes, 1);
}

// Guards against a status that no client can interpret, or the data after an unrequested switch of protocols, delivered as a response.
TEST(HttpResponseParser, RefusesInvalidStatusLinesInWhateverPiecesTheyCome)
{
    for (const auto &line : invalidStatusLines()) {
        for (const std::size_t piece : { std::size_t(1), std::size_t(7), line.text.size() }) {
            HttpResponseParser parser(64U << 10U, kMaxBodyBytes);
            parser.begin(false);
            for (std::size_t at = 0; at < line.text.size(); at += piece) {
                parser.feed(std::string_view(line.text).substr(at, piece));
            }
            EXPECT_FALSE(parser.error().empty()) << line.reason << " in pieces of " << piece;
            EXPECT_FALSE(parser.isComplete()) << line.reason << " in pieces of " << piece;
        }
    }
}

// Guards against a header name with a blank or a control byte that is passed on, or whose length counts for the body.
TEST(HttpResponseParser, RefusesHeaderNamesThatAreNoTokens)
{
    for (const auto &line : invalidHeaderLines()) {
        for (const std::size_t segment : { std::size_t(1), std::size_t(7), std::size_t(1000) }) {
            const auto result = outcome("HTTP/1.1 200 OK\r\n" + line.text + "Content-Length: 2\r\n\r\nok", segment);
            EXPECT_EQ(result, "malformed answer") << line.reason << " in segments of " << segment;
        }
    }
}

TEST(HttpResponseParser, TakesUnusualHeaderNames)
{
    for (const auto &name : unusualHeaderNames()) {
        HttpResponseParser parser(kMaxHeaderBytes, kMaxBodyBytes);
        parser.begin(false);
        parser.feed("HTTP/1.1 200 OK\r\n" + name + ": a b\r\n c\r\nContent-Length: 2\r\n\r\nok");
        ASSERT_TRUE(parser.isComplete()) << name << parser.error();
        EXPECT_EQ(parser.take().header(name), "a b c") << name;
    }
}

TEST(HttpResponseParser, TakesUnusualStatuses)
{
    for (const int status : unusualStatuses()) {
        for (const std::string reason : { " Some \xe9 reason", " ", "" }) {
            const auto text = std::to_string(status) + reason + "\r\nContent-Length: 2\r\n\r\nok";
            EXPECT_EQ(outcome("HTTP/1.1 " + text, text.size()), std::to_string(9 + text.size()) + " " + std::to_string(status) + " ok");
        }
    }
}
