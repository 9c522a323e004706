#pragma once

#include "common/result.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// Value of a request header; nothing if it is absent. The implementation compares names case-insensitively.
using HeaderLookup = std::function<std::optional<std::string_view>(std::string_view name)>;

/// Default header of the key; the service row may name another.
constexpr std::string_view kDefaultKeyHeader = "Toucandeck-Key";

/// With the key "header:Idempotency-Key" each submission has an owner, so that a resent submission is matched with the first one.
constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// Extracts the key of a request according to the column `key` of the service row.
class KeyExtractor
{
public:
    /// Parses "none", "segment:N" or "header:NAME". Fails with InvalidArgument for anything else.
    static Result<KeyExtractor> parse(std::string_view text);

    /// False for "none": any instance may serve any request.
    bool isKeyed() const;

    /// True for "header:NAME" with this name.
    bool isByHeader(std::string_view name) const;

    /// Returns the key, percent-decoded if it is a path segment; nothing if the service is not keyed. @p path follows the service name
    /// and begins with '/'; segment 1 is the first one in it. Fails with InvalidArgument if the request has no key.
    Result<std::optional<std::string>> extract(std::string_view path, const HeaderLookup &headers) const;

private:
    enum class Kind {
        None,
        Segment,
        Header,
    };

    Kind m_kind = Kind::None;
    unsigned m_segment = 0;
    std::string m_header;
};

} // namespace Toucandeck
