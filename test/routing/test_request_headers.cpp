// Guards against wrong keys and against malformed headers that are accepted or rejected without a reason in the message.
#include "Toucandeck/Routing"

#include "common/key_limits.h"

#include <gtest/gtest.h>
#include <map>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

using Headers = std::map<std::string, std::string, std::less<>>;

HeaderLookup lookup(const Headers &headers)
{
    return [&headers](std::string_view name) -> std::optional<std::string_view> {
        const auto it = headers.find(name);
        return it == headers.end() ? std::nullopt : std::optional<std::string_view>(it->second);
    };
}

std::string keyOf(std::string_view rule, std::string_view path, const Headers &headers = {})
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(extractor, KeyExtractor::parse(rule));
            BOOST_LEAF_AUTO(key, extractor.extract(path, lookup(headers)));
            return key.value_or("(none)");
        },
        [](const Error &error) { return "error: " + error.message; });
}

/// Empty if the headers are accepted.
std::string errorOf(const Headers &headers)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(RequestHeaders::parse(lookup(headers)));
            return std::string();
        },
        [](const Error &error) {
            return error.code == ErrorCode::InvalidArgument && error.verdict == Verdict::NotRun ? error.message : "?";
        });
}

const std::string kTraceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

} // namespace

TEST(KeyExtractor, TakesTheKeyAsTheRuleSays)
{
    EXPECT_EQ(keyOf("none", "/a/b"), "(none)");
    EXPECT_EQ(keyOf("segment:1", "/a/b"), "a");
    EXPECT_EQ(keyOf("segment:2", "/a/b?x=/c"), "b");
    EXPECT_EQ(keyOf("segment:1", "/a%2Fb%41/c"), "a/bA");
    EXPECT_EQ(keyOf("header:Toucandeck-Key", "/a", { { "Toucandeck-Key", "k" } }), "k");
}

TEST(KeyExtractor, MissingKeysAreErrors)
{
    for (const auto *path : { "", "/", "/a", "/a/", "/a//c", "/a?b/c" }) {
        EXPECT_EQ(keyOf("segment:2", path), "error: the request has no key: path segment 2 is missing or empty") << path;
    }
    EXPECT_EQ(keyOf("segment:1", "/%4"), "error: path segment 1 has a malformed percent escape");
    EXPECT_EQ(keyOf("segment:1", "/%+4"), "error: path segment 1 has a malformed percent escape");
    EXPECT_EQ(keyOf("header:X-Team", "/"), "error: the request has no key: header 'X-Team' is missing or empty");
}

// Guards against a rule that the router accepts and the table rejects.
TEST(KeyExtractor, HasTheLimitsOfTheColumnKey)
{
    const std::string longestName(kMaxKeyHeaderLength, 'x');
    EXPECT_TRUE(KeyExtractor::parse("segment:" + std::to_string(kMaxKeySegment)));
    EXPECT_TRUE(KeyExtractor::parse("header:" + longestName));
    EXPECT_TRUE(keyOf("segment:" + std::to_string(kMaxKeySegment + 1), "/a").starts_with("error: key '"));
    EXPECT_TRUE(keyOf("header:" + longestName + "x", "/a", { { longestName + "x", "k" } }).starts_with("error: key '"));
}

TEST(KeyExtractor, MalformedRulesAreErrors)
{
    for (const auto *rule :
         { "", "None", "segment", "segment:", "segment:0", "segment:65", "segment:1x", "segment:-1", "header:", "header:a b" }) {
        EXPECT_TRUE(keyOf(rule, "/a").starts_with("error: key '")) << rule;
    }
}

TEST(RequestHeaders, ReadsAllHeaders)
{
    const Headers headers{
        { "Toucandeck-Deadline-Ms", "250" }, { "Idempotency-Key", "a b" },         { "Toucandeck-First-Sent-Ms", "1700000000000" },
        { "Toucandeck-Depth", "2" },         { "Toucandeck-Status-Check", "yes" }, { "traceparent", kTraceparent }
    };
    const auto parsed = RequestHeaders::parse(lookup(headers)).value();
    EXPECT_EQ(parsed.deadline, 250ms);
    EXPECT_EQ(parsed.idempotencyKey, "a b");
    EXPECT_EQ(parsed.firstSent, WallTime(1'700'000'000'000ms));
    EXPECT_EQ(parsed.depth, 2U);
    EXPECT_TRUE(parsed.statusCheck);
    EXPECT_EQ(parsed.traceparent, kTraceparent);
    EXPECT_FALSE(RequestHeaders::parse(lookup({ { "Toucandeck-Status-Check", "yes" } })).value().statusCheck); // not nested
}

TEST(RequestHeaders, EachMalformedValueNamesItsHeader)
{
    const std::vector<std::pair<std::string, std::string>> malformed{
        { "Toucandeck-Deadline-Ms", "" },
        { "Toucandeck-Deadline-Ms", "0" },
        { "Toucandeck-Deadline-Ms", "-5" },
        { "Toucandeck-Deadline-Ms", "3600001" },
        { "Toucandeck-Deadline-Ms", "99999999999999999999" },
        { "Toucandeck-First-Sent-Ms", "yesterday" },
        { "Toucandeck-Depth", "4" },
        { "Toucandeck-Depth", "1.0" },
        { "Idempotency-Key", "" },
        { "Idempotency-Key", "a\tb" },
        { "Idempotency-Key", std::string(257, 'x') },
        { "Toucandeck-Status-Check", "1" },
        { "traceparent", "" },
        { "traceparent", "00-4BF92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" },
        { "traceparent", "00-00000000000000000000000000000000-00f067aa0ba902b7-01" },
        { "traceparent", "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" },
        { "traceparent", kTraceparent + "-extra" },
        { "traceparent", kTraceparent.substr(0, 40) },
    };
    for (const auto &[name, value] : malformed) {
        EXPECT_TRUE(errorOf({ { name, value } }).starts_with("header " + name + ": '")) << name << ": " << value;
    }
    EXPECT_EQ(errorOf({ { "Toucandeck-Depth", "4" } }), "header Toucandeck-Depth: '4' is not a whole number from 0 to 3");
    EXPECT_EQ(errorOf({ { "traceparent", "01" + kTraceparent.substr(2) + "-later" } }), "");
}

TEST(RequestHeaders, IdempotentMethods)
{
    for (const auto *method : { "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE" }) {
        EXPECT_TRUE(isIdempotent(method)) << method;
    }
    for (const auto *method : { "POST", "PATCH", "CONNECT", "get", "" }) {
        EXPECT_FALSE(isIdempotent(method)) << method;
    }
}
