#include "routing/request_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint64_t kMaxCallDepth = 3;
constexpr std::uint64_t kMaxWallTimeMs = 253'402'300'799'999; // end of the year 9999
constexpr std::size_t kMaxIdempotencyKeyLength = 256;
constexpr std::string_view kLowerHex = "0123456789abcdef";

boost::leaf::error_id invalid(std::string_view header, std::string_view value, std::string_view expected)
{
    constexpr std::size_t kMaxQuotedLength = 64;
    return fail(ErrorCode::InvalidArgument, fmt::format("header {}: '{}' is not {}", header, value.substr(0, kMaxQuotedLength), expected));
}

/// Nothing if the header is absent.
Result<std::optional<std::uint64_t>>
parseNumber(const HeaderLookup &headers, std::string_view name, std::uint64_t least, std::uint64_t most)
{
    const auto text = headers(name);
    if (!text) {
        return std::optional<std::uint64_t>();
    }
    std::uint64_t number = 0;
    const auto *end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < least || number > most) {
        return invalid(name, *text, fmt::format("a whole number from {} to {}", least, most));
    }
    return std::optional<std::uint64_t>(number);
}

Result<std::string> parseIdempotencyKey(const HeaderLookup &headers)
{
    const auto text = headers("Idempotency-Key");
    if (!text) {
        return std::string();
    }
    const bool printable = std::all_of(text->begin(), text->end(), [](char it) { return it >= ' ' && it <= '~'; });
    if (text->empty() || text->size() > kMaxIdempotencyKeyLength || !printable) {
        return invalid("Idempotency-Key", *text, fmt::format("1 to {} printable ASCII characters", kMaxIdempotencyKeyLength));
    }
    return std::string(*text);
}

bool isHex(std::string_view text)
{
    return text.find_first_not_of(kLowerHex) == std::string_view::npos;
}

/// Whether the text is version-trace-parent-flags as in W3C Trace Context, 3.2. Later versions may append fields.
bool isTraceparent(std::string_view text)
{
    constexpr std::array<std::size_t, 4> kLengths{ 2, 32, 16, 2 };
    std::size_t start = 0;
    for (std::size_t n = 0; n < kLengths.size(); ++n) {
        const auto part = text.substr(std::min(start, text.size()), kLengths[n]);
        const bool isId = n == 1 || n == 2;
        if (part.size() != kLengths[n] || !isHex(part) || (isId && part.find_first_not_of('0') == std::string_view::npos)) {
            return false;
        }
        start += kLengths[n];
        if (n + 1 < kLengths.size() && (start >= text.size() || text[start++] != '-')) {
            return false;
        }
    }
    const auto version = text.substr(0, 2);
    const bool atEnd = start == text.size();
    return version != "ff" && (atEnd || (version != "00" && text[start] == '-'));
}

Result<std::string> parseTraceparent(const HeaderLookup &headers)
{
    const auto text = headers("traceparent");
    if (!text) {
        return std::string();
    }
    if (!isTraceparent(*text)) {
        return invalid("traceparent", *text, "a W3C trace context");
    }
    return std::string(*text);
}

Result<bool> parseStatusCheck(const HeaderLookup &headers)
{
    const auto text = headers("Toucandeck-Status-Check");
    if (text && *text != "yes" && *text != "no") {
        return invalid("Toucandeck-Status-Check", *text, "'yes' or 'no'");
    }
    return text && *text == "yes";
}

} // namespace

Result<RequestHeaders> RequestHeaders::parse(const HeaderLookup &headers)
{
    RequestHeaders parsed;
    BOOST_LEAF_AUTO(deadline, parseNumber(headers, "Toucandeck-Deadline-Ms", 1, kMaxDeadlineMs));
    if (deadline) {
        parsed.deadline = std::chrono::milliseconds(*deadline);
    }
    BOOST_LEAF_AUTO(firstSent, parseNumber(headers, "Toucandeck-First-Sent-Ms", 1, kMaxWallTimeMs));
    if (firstSent) {
        parsed.firstSent = WallTime(std::chrono::milliseconds(*firstSent));
    }
    BOOST_LEAF_AUTO(depth, parseNumber(headers, "Toucandeck-Depth", 0, kMaxCallDepth));
    parsed.depth = static_cast<unsigned>(depth.value_or(0));
    BOOST_LEAF_ASSIGN(parsed.idempotencyKey, parseIdempotencyKey(headers));
    BOOST_LEAF_ASSIGN(parsed.traceparent, parseTraceparent(headers));
    BOOST_LEAF_AUTO(statusCheck, parseStatusCheck(headers));
    // Only nested calls may use the slots reserved for deeper calls.
    parsed.statusCheck = statusCheck && parsed.depth > 0;
    return parsed;
}

bool isIdempotent(std::string_view method)
{
    constexpr std::array<std::string_view, 6> kIdempotent{ "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE" };
    return std::find(kIdempotent.begin(), kIdempotent.end(), method) != kIdempotent.end();
}

} // namespace Toucandeck
