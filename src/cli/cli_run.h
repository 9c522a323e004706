#pragma once

#include "cli/command_line.h"
#include "cli/exit_code.h"
#include "cli/operator_transport.h"
#include "common/clock.h"
#include "common/random_source.h"

#include <string>

namespace Toucandeck
{

/// What a run of the tool has printed, and its exit code.
struct CliResult
{
    ExitCode exitCode = ExitCode::Success;
    std::string output; ///< For standard output.
    std::string errors; ///< For standard error.
};

/// Does what the command line says. Reads the token file and the file of an import.
CliResult runCli(const CommandLine &line, OperatorTransport &transport, const Clock &clock, RandomSource &random);

} // namespace Toucandeck
