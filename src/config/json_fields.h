#pragma once

#include "common/result.h"
#include "common/time.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Toucandeck
{

/// Reads typed fields of a JSON object; each error names the object and the field.
class JsonFields
{
public:
    /// @param where names the object in errors. Errors: InvalidArgument, if the value is not an object.
    static Result<JsonFields> of(const nlohmann::json &value, std::string where);

    bool has(const char *name) const;
    Result<std::string> text(const char *name) const;
    Result<std::uint64_t> number(const char *name) const;
    Result<double> fraction(const char *name) const;
    Result<bool> flag(const char *name) const;
    /// A time with its unit, as in "1500ms" or "2.5s".
    Result<Duration> time(const char *name) const;

    // Variants for optional fields.
    Result<std::string> text(const char *name, const std::string &missing) const;
    Result<std::uint64_t> number(const char *name, std::uint64_t missing) const;
    Result<double> fraction(const char *name, double missing) const;
    Result<bool> flag(const char *name, bool missing) const;
    Result<Duration> time(const char *name, Duration missing) const;

    /// Errors: InvalidArgument, if the field is missing.
    Result<nlohmann::json> value(const char *name) const;
    const std::string &where() const;

private:
    JsonFields(const nlohmann::json &value, std::string where);
    boost::leaf::error_id wrong(const char *name, std::string_view expected) const;

    nlohmann::json m_value;
    std::string m_where;
};

/// Parses a document. Errors: InvalidArgument, with the position; also for a document that is nested so deeply that copying or writing its
/// values could exhaust the stack.
Result<nlohmann::json> parseJson(std::string_view text);

/// Reads a time with its unit. Errors: InvalidArgument.
Result<Duration> parseTime(std::string_view text);
std::string formatTime(Duration time);

} // namespace Toucandeck
