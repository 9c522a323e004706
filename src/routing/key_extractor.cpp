#include "routing/key_extractor.h"

#include "common/key_limits.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

constexpr std::string_view kSegmentPrefix = "segment:";
constexpr std::string_view kHeaderPrefix = "header:";
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~"; // RFC 9110, 5.6.2

bool isHeaderName(std::string_view name)
{
    return !name.empty() && name.size() <= kMaxKeyHeaderLength && std::all_of(name.begin(), name.end(), [](unsigned char it) {
        return std::isalnum(it) != 0 || kTokenPunctuation.find(static_cast<char>(it)) != std::string_view::npos;
    });
}

std::string_view segmentOf(std::string_view path, unsigned number)
{
    path = path.substr(0, path.find_first_of("?#"));
    for (unsigned n = 0; n < number; ++n) {
        const auto slash = path.find('/');
        if (slash == std::string_view::npos) {
            return {};
        }
        path.remove_prefix(slash + 1);
    }
    return path.substr(0, path.find('/'));
}

/// Nothing if the text has a malformed escape.
std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string buf;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] != '%') {
            buf += text[n];
            continue;
        }
        const auto digits = text.substr(n + 1, 2);
        unsigned char value = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (digits.size() != 2 || parsed.ec != std::errc() || parsed.ptr != digits.data() + 2) {
            return std::nullopt;
        }
        buf += static_cast<char>(value);
        n += 2;
    }
    return buf;
}

} // namespace

Result<KeyExtractor> KeyExtractor::parse(std::string_view text)
{
    KeyExtractor extractor;
    if (text == "none") {
        return extractor;
    }
    if (text.starts_with(kSegmentPrefix)) {
        const auto number = text.substr(kSegmentPrefix.size());
        const auto parsed = std::from_chars(number.data(), number.data() + number.size(), extractor.m_segment);
        const bool isNumber = parsed.ec == std::errc() && parsed.ptr == number.data() + number.size();
        if (isNumber && extractor.m_segment >= 1 && extractor.m_segment <= kMaxKeySegment) {
            extractor.m_kind = Kind::Segment;
            return extractor;
        }
    }
    if (text.starts_with(kHeaderPrefix) && isHeaderName(text.substr(kHeaderPrefix.size()))) {
        extractor.m_kind = Kind::Header;
        extractor.m_header = text.substr(kHeaderPrefix.size());
        return extractor;
    }
    return fail(ErrorCode::InvalidArgument,
                fmt::format("key '{}' is none of 'none', 'segment:N' with N from 1 to {}, 'header:NAME'", text, kMaxKeySegment));
}

bool KeyExtractor::isKeyed() const
{
    return m_kind != Kind::None;
}

bool KeyExtractor::isByHeader(std::string_view name) const
{
    return m_kind == Kind::Header && m_header == name;
}

Result<std::optional<std::string>> KeyExtractor::extract(std::string_view path, const HeaderLookup &headers) const
{
    if (m_kind == Kind::None) {
        return std::optional<std::string>();
    }
    if (m_kind == Kind::Header) {
        const auto value = headers(m_header);
        if (!value || value->empty()) {
            return fail(ErrorCode::InvalidArgument, fmt::format("the request has no key: header '{}' is missing or empty", m_header));
        }
        return std::optional<std::string>(*value);
    }
    auto segment = percentDecoded(segmentOf(path, m_segment));
    if (!segment) {
        return fail(ErrorCode::InvalidArgument, fmt::format("path segment {} has a malformed percent escape", m_segment));
    }
    if (segment->empty()) {
        return fail(ErrorCode::InvalidArgument, fmt::format("the request has no key: path segment {} is missing or empty", m_segment));
    }
    return segment;
}

} // namespace Toucandeck
