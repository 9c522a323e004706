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
    std::string path; ///< Path with the query.
    std::string contentType; ///< Content type of the body; empty without a body.
    std::string body;
    bool isResendable = true; ///< The request is idempotent.
};

/// Builds the request for a command line. @p requestId identifies an edit; @p fileContent is the content of an imported file. Fails with
/// InvalidArgument if a row, a column or a value is malformed.
Result<OperatorRequest> requestOf(const CommandLine &line, const std::string &requestId, const std::string &fileContent);

/// Builds the query whether each router that holds a lease has applied the version.
OperatorRequest appliedRequest(std::uint64_t version);

} // namespace Toucandeck
