#include "cli/exit_code.h"

namespace Toucandeck
{

ExitCode exitCodeOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return ExitCode::Usage;
    case ErrorCode::NotFound:
        return ExitCode::NotFound;
    case ErrorCode::Conflict:
        return ExitCode::Conflict;
    case ErrorCode::Refused:
        return ExitCode::Refused;
    case ErrorCode::Unauthorized:
        return ExitCode::Unauthorized;
    case ErrorCode::NotLeader:
    case ErrorCode::Unavailable:
    case ErrorCode::Overloaded:
    case ErrorCode::DeadlineExceeded:
        return ExitCode::Unavailable;
    case ErrorCode::Corrupt:
    case ErrorCode::Io:
        break;
    }
    return ExitCode::Failed;
}

const char *exitCodeHelp()
{
    return "Exit codes:\n"
           "  0  success\n"
           "  1  any other failure\n"
           "  2  the command line, a value or a file is malformed\n"
           "  3  conflict: the revision named is not the present one\n"
           "  4  refused by a rule, for example because the rest cannot carry the load\n"
           "  5  the token is missing or wrong\n"
           "  6  the named thing does not exist\n"
           "  7  no controller answered, or none leads\n"
           "  8  accepted, but not in force everywhere within the time limit of --wait\n";
}

} // namespace Toucandeck
