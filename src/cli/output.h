#pragma once

#include "cli/command_line.h"
#include "common/result.h"

#include <string>

namespace Toucandeck
{

/// What the tool prints for the body of a successful answer: JSON with --json, CSV for an export, otherwise text for people. Fails with
/// Unavailable if the body is not of the form that the action expects.
Result<std::string> outputOf(const CommandLine &line, const std::string &body);

} // namespace Toucandeck
