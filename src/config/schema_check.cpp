#include "config/settings_schema.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
// Only this file includes valijson, which compiles slowly.
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace Toucandeck::internal
{

namespace
{

using Adapter = valijson::adapters::NlohmannJsonAdapter;

/// Location of an error: path of names and indexes from the root, with the subschema that applies there.
struct ErrorLocation
{
    std::string path;
    nlohmann::json *schema = nullptr;
};

void descend(ErrorLocation &location, const std::string &step)
{
    const bool isIndex = !step.empty() && std::all_of(step.begin(), step.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (isIndex) {
        location.path += "[" + step + "]";
        location.schema = &(*location.schema)["items"];
    } else {
        location.path += (location.path.empty() ? "" : ".") + step;
        location.schema = &(*location.schema)["properties"][step];
    }
}

/// valijson writes a path element as "[name]" or "[0]", and the root as "<root>".
ErrorLocation locationOf(const std::vector<std::string> &context, nlohmann::json &schema)
{
    ErrorLocation location{ "", &schema };
    for (const auto &it : context) {
        if (it.size() > 2 && it.front() == '[') {
            descend(location, it.substr(1, it.size() - 2));
        }
    }
    return location;
}

/// Text between the last two apostrophes, where valijson puts the name of a property.
std::string quotedName(const std::string &text)
{
    const auto end = text.rfind('\'');
    const auto start = end == std::string::npos || end == 0 ? std::string::npos : text.rfind('\'', end - 1);
    return start == std::string::npos ? std::string() : text.substr(start + 1, end - start - 1);
}

/// True for errors of a container that only repeat the error of one of its elements.
bool isSummary(const std::string &text)
{
    return text.starts_with("Failed to validate against schema associated with property name")
        || text.starts_with("Failed to validate item");
}

std::string lineOf(const valijson::ValidationResults::Error &error, nlohmann::json &schema)
{
    auto location = locationOf(error.context, schema);
    const auto &text = error.description;
    if (text.starts_with("Missing required property")) {
        descend(location, quotedName(text));
        return location.path + ": missing; expected " + location.schema->value("description", "a value");
    }
    if (text.starts_with("Object contains a property that could not be validated")) {
        const auto name = quotedName(text);
        return (location.path.empty() ? "" : location.path + ".") + name + ": unknown field";
    }
    return (location.path.empty() ? "settings" : location.path) + ": expected " + location.schema->value("description", "another value");
}

} // namespace

std::vector<std::string> violationsOf(const nlohmann::json &document)
{
    // Copied, because operator[] inserts missing members when a path is looked up.
    auto schemaText = settingsSchema();
    valijson::Schema schema;
    valijson::SchemaParser().populateSchema(Adapter(schemaText), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    std::vector<std::string> lines;
    if (validator.validate(schema, Adapter(document), &results)) {
        return lines;
    }
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        if (isSummary(error.description)) {
            continue;
        }
        const auto line = lineOf(error, schemaText);
        if (std::find(lines.begin(), lines.end(), line) == lines.end()) {
            lines.push_back(line);
        }
    }
    return lines;
}

} // namespace Toucandeck::internal
