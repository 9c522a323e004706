#pragma once

#include "cli/command_line.h"
#include "cli/exit_code.h"
#include "cli/operator_transport.h"
#include "common/clock.h"
#include "common/random_source.h"

#include <string>

namespace Toucandeck
{

/// Output and exit code of a run of the tool.
struct CliResult
{
    ExitCode exitCode = ExitCode::Success;
    std::string output; ///< Text for standard output.
    std::string errors; ///< Text for standard error.
};

/// Executes the command line. Reads the token file and, for an import, the CSV file.
CliResult runCli(const CommandLine &line, OperatorTransport &transport, const Clock &clock, RandomSource &random);

} // namespace Toucandeck
