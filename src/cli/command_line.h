#pragma once

#include "common/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Toucandeck
{

/// Action selected on the command line.
enum class CliAction {
    TableShow,
    TableExport,
    TableImport,
    TableSet,
    TableWait,
    Status,
    Owners,
    ControllersShow,
    ControllersAdd,
    ControllersRemove,
    ControllersBootstrap,
    LeavePlan,
    LeaveStatus,
    Events,
};

/// A parsed command line. Only the fields that the action needs are set.
struct CommandLine
{
    CliAction action = CliAction::Status;
    std::vector<std::string> controllers; ///< HTTP addresses, "IP:PORT".
    std::string tokenFile; ///< Empty: no token is sent.
    Duration timeout{};
    bool json = false;
    bool wait = false;
    bool force = false;
    std::string requestId; ///< Empty: a random id is generated.
    std::string file; ///< Path of the file to import.
    std::string row;
    std::vector<std::string> assignments; ///< "COLUMN=VALUE".
    std::uint64_t revision = 0;
    std::string service; ///< Filter of owners; empty: all.
    std::string replica; ///< Hexadecimal id of a controller.
    std::string failureDomain;
    std::string address;
    std::string httpAddress;
};

/// Exit without a request, after --help, --version or a usage error.
struct CommandLineEnd
{
    int exitCode = 0;
    std::string text; ///< For standard output if the exit code is 0, else for standard error.
};

/// Parses the arguments, which exclude the program name.
std::variant<CommandLine, CommandLineEnd> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace Toucandeck
