#include "config/json_fields.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace Toucandeck
{

using nlohmann::json;

namespace
{

constexpr std::size_t kMaxNestingDepth = 64; ///< Values are copied and written recursively.

/// Largest number of objects and arrays that contain each other in the JSON text.
std::size_t nestingDepth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool inString = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char c = text[n];
        if (inString && c == '\\') {
            ++n;
        } else if (c == '"') {
            inString = !inString;
        } else if (!inString && (c == '[' || c == '{')) {
            deepest = std::max(deepest, ++depth);
        } else if (!inString && (c == ']' || c == '}')) {
            depth -= std::min<std::size_t>(depth, 1);
        }
    }
    return deepest;
}

} // namespace

Result<JsonFields> JsonFields::of(const json &value, std::string where)
{
    if (!value.is_object()) {
        return fail(ErrorCode::InvalidArgument, fmt::format("{}: an object is expected", where));
    }
    return JsonFields(value, std::move(where));
}

JsonFields::JsonFields(const json &value, std::string where)
    : m_value(value)
    , m_where(std::move(where))
{
}

boost::leaf::error_id JsonFields::wrong(const char *name, std::string_view expected) const
{
    return fail(ErrorCode::InvalidArgument, fmt::format("{}: field \"{}\" must be {}", m_where, name, expected));
}

bool JsonFields::has(const char *name) const
{
    return m_value.contains(name);
}

Result<json> JsonFields::value(const char *name) const
{
    const auto it = m_value.find(name);
    if (it == m_value.end()) {
        return fail(ErrorCode::InvalidArgument, fmt::format("{}: field \"{}\" is missing", m_where, name));
    }
    return *it;
}

Result<std::string> JsonFields::text(const char *name) const
{
    BOOST_LEAF_AUTO(it, value(name));
    if (!it.is_string()) {
        return wrong(name, "a string");
    }
    return it.get<std::string>();
}

Result<std::uint64_t> JsonFields::number(const char *name) const
{
    BOOST_LEAF_AUTO(it, value(name));
    if (!it.is_number_unsigned()) {
        return wrong(name, "a whole number");
    }
    return it.get<std::uint64_t>();
}

Result<double> JsonFields::fraction(const char *name) const
{
    BOOST_LEAF_AUTO(it, value(name));
    if (!it.is_number()) {
        return wrong(name, "a number");
    }
    return it.get<double>();
}

Result<bool> JsonFields::flag(const char *name) const
{
    BOOST_LEAF_AUTO(it, value(name));
    if (!it.is_boolean()) {
        return wrong(name, "true or false");
    }
    return it.get<bool>();
}

Result<Duration> JsonFields::time(const char *name) const
{
    BOOST_LEAF_AUTO(it, text(name));
    return replaceError([&] { return parseTime(it); },
                        [&](const Error &) -> Result<Duration> { return wrong(name, "a time such as 1500ms or 2.5s"); });
}

Result<std::string> JsonFields::text(const char *name, const std::string &missing) const
{
    return has(name) ? text(name) : Result<std::string>(missing);
}

Result<std::uint64_t> JsonFields::number(const char *name, std::uint64_t missing) const
{
    return has(name) ? number(name) : Result<std::uint64_t>(missing);
}

Result<double> JsonFields::fraction(const char *name, double missing) const
{
    return has(name) ? fraction(name) : Result<double>(missing);
}

Result<bool> JsonFields::flag(const char *name, bool missing) const
{
    return has(name) ? flag(name) : Result<bool>(missing);
}

Result<Duration> JsonFields::time(const char *name, Duration missing) const
{
    return has(name) ? time(name) : Result<Duration>(missing);
}

const std::string &JsonFields::where() const
{
    return m_where;
}

Result<json> parseJson(std::string_view text)
{
    if (nestingDepth(text) > kMaxNestingDepth) {
        return fail(ErrorCode::InvalidArgument, fmt::format("not valid JSON: nested deeper than {} levels", kMaxNestingDepth));
    }
    try {
        return json::parse(text);
    } catch (const json::parse_error &error) {
        // The text of the error quotes the input, which may not be UTF-8.
        return fail(ErrorCode::InvalidArgument, fmt::format("not valid JSON: error {} at byte {}", error.id, error.byte));
    } catch (const json::exception &error) {
        return fail(ErrorCode::InvalidArgument, fmt::format("not valid JSON: error {}", error.id));
    }
}

Result<Duration> parseTime(std::string_view text)
{
    double n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    constexpr double kLongestSeconds = 1e9;
    if (ec == std::errc() && n >= 0 && unit == "ms" && n / 1000 <= kLongestSeconds) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(n));
    }
    if (ec == std::errc() && n >= 0 && unit == "s" && n <= kLongestSeconds) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(n));
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("\"{}\" is not a time such as 1500ms or 2.5s", text));
}

std::string formatTime(Duration time)
{
    return fmt::format("{}ms", std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace Toucandeck
