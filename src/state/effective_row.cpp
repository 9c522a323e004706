#include "state/effective_row.h"

#include "common/key_limits.h"

#include <algorithm>
#include <charconv>

namespace Toucandeck
{

namespace
{

bool isHeaderName(std::string_view text)
{
    // Token characters (RFC 9110).
    const auto isToken = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    };
    return !text.empty() && text.size() <= kMaxKeyHeaderLength && std::all_of(text.begin(), text.end(), isToken);
}

} // namespace

std::optional<ServiceSettings> parseKeyColumn(std::string_view text)
{
    constexpr std::string_view segmentPrefix = "segment:";
    constexpr std::string_view headerPrefix = "header:";
    ServiceSettings settings;
    if (text == "none") {
        return settings;
    }
    if (text.starts_with(headerPrefix)) {
        settings.keySource = KeySource::Header;
        settings.header = text.substr(headerPrefix.size());
        return isHeaderName(settings.header) ? std::optional(settings) : std::nullopt;
    }
    if (!text.starts_with(segmentPrefix)) {
        return std::nullopt;
    }
    settings.keySource = KeySource::Segment;
    const auto digits = text.substr(segmentPrefix.size());
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), settings.segment);
    const bool valid
        = ec == std::errc() && end == digits.data() + digits.size() && settings.segment >= 1 && settings.segment <= kMaxKeySegment;
    return valid ? std::optional(settings) : std::nullopt;
}

ServiceSettings serviceSettingsOf(const wire::TableRow &serviceRow)
{
    auto settings = parseKeyColumn(serviceRow.has_key() ? serviceRow.key() : "none").value_or(ServiceSettings{});
    settings.fenced = serviceRow.fenced();
    if (settings.isPartitionedByKey()) {
        const auto n = serviceRow.has_partitions() ? serviceRow.partitions() : defaultPartitions;
        settings.partitions = std::clamp<std::uint32_t>(n, 1, maxPartitions);
    }
    return settings;
}

} // namespace Toucandeck
