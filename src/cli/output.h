#pragma once

#include "cli/command_line.h"
#include "common/result.h"

#include <string>

namespace Toucandeck
{

/// Formats the body of a successful answer for printing: JSON with --json, CSV for an export, otherwise text for people. Fails with
/// Unavailable if the body does not have the structure that the action expects.
Result<std::string> outputOf(const CommandLine &line, const std::string &body);

} // namespace Toucandeck
