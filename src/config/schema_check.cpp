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

/// Place of an error: names and indexes from the root, with the schema that applies there.
struct Place
{
    std::string path;
    nlohmann::json *schema = nullptr;
};

void descend(Place &place, const std::string &step)
{
    const bool isIndex = !step.empty() && std::all_of(step.begin(), step.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (isIndex) {
        place.path += "[" + step + "]";
        place.schema = &(*place.schema)["items"];
    } else {
        place.path += (place.path.empty() ? "" : ".") + step;
        place.schema = &(*place.schema)["properties"][step];
    }
}

/// The library writes a step as "[name]" or "[0]", and the root as "<root>".
Place placeOf(const std::vector<std::string> &context, nlohmann::json &schema)
{
    Place place{ "", &schema };
    for (const auto &it : context) {
        if (it.size() > 2 && it.front() == '[') {
            descend(place, it.substr(1, it.size() - 2));
        }
    }
    return place;
}

/// Text between the last two apostrophes, in which the library names a property.
std::string quotedName(const std::string &text)
{
    const auto end = text.rfind('\'');
    const auto start = end == std::string::npos || end == 0 ? std::string::npos : text.rfind('\'', end - 1);
    return start == std::string::npos ? std::string() : text.substr(start + 1, end - start - 1);
}

/// True for errors that only repeat an error of a part.
bool isSummary(const std::string &text)
{
    return text.starts_with("Failed to validate against schema associated with property name")
        || text.starts_with("Failed to validate item");
}

std::string lineOf(const valijson::ValidationResults::Error &error, nlohmann::json &schema)
{
    auto place = placeOf(error.context, schema);
    const auto &text = error.description;
    if (text.starts_with("Missing required property")) {
        descend(place, quotedName(text));
        return place.path + ": missing; expected " + place.schema->value("description", "a value");
    }
    if (text.starts_with("Object contains a property that could not be validated")) {
        const auto name = quotedName(text);
        return (place.path.empty() ? "" : place.path + ".") + name + ": unknown field";
    }
    return (place.path.empty() ? "settings" : place.path) + ": expected " + place.schema->value("description", "another value");
}

} // namespace

std::vector<std::string> violationsOf(const nlohmann::json &document)
{
    // A copy, because looking up a path adds empty members.
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
