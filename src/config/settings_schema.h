#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Toucandeck::internal
{

/// JSON schema of the settings. Each property has a description that says what is expected.
const nlohmann::json &settingsSchema();

/// Checks the document against the schema; one line per wrong, missing or unknown field.
std::vector<std::string> violationsOf(const nlohmann::json &document);

} // namespace Toucandeck::internal
