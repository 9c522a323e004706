#pragma once

#include "common/result.h"

namespace Toucandeck
{

/// Exit codes of the operators' command-line tool, also listed by --help.
enum class ExitCode : int {
    Success = 0,
    Failed = 1, ///< Any failure without a code of its own.
    Usage = 2, ///< The command line, a value or a file is malformed.
    Conflict = 3, ///< The revision named is not the present one.
    Refused = 4, ///< A rule forbids it now, for example because the rest cannot carry the load.
    Unauthorized = 5, ///< The token is missing or wrong.
    NotFound = 6, ///< The named thing does not exist.
    Unavailable = 7, ///< No controller answered, or none leads.
    NotApplied = 8, ///< The change is accepted, but not in force everywhere within the time limit.
};

ExitCode exitCodeOf(ErrorCode code);

/// Description of all exit codes for --help, one per line.
const char *exitCodeHelp();

} // namespace Toucandeck
