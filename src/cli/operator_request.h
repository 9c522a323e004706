#pragma once

#include "cli/command_line.h"
#include "common/result.h"

#include <string>

namespace Toucandeck
{

/// A request to the operators' interface of a controller (/v1/).
struct OperatorRequest
{
    std::string method;
    std::string path; ///< With the query.
    std::string contentType; ///< Of the body; empty without one.
    std::string body;
    bool isResendable = true; ///< Sending it twice has the effect of sending it once.
};

/// Builds the request of a command line. @p requestId names an edit; @p fileContent is that of the file of an import. Fails with
/// InvalidArgument if a row, a column or a value is malformed.
Result<OperatorRequest> requestOf(const CommandLine &line, const std::string &requestId, const std::string &fileContent);

/// Asks whether each router that holds a lease has applied the version.
OperatorRequest appliedRequest(std::uint64_t version);

} // namespace Toucandeck
