#pragma once

#include "cli/operator_request.h"
#include "common/result.h"
#include "common/time.h"

#include <string>

namespace Toucandeck
{

/// Answer of a controller.
struct OperatorAnswer
{
    int status = 0; ///< HTTP status.
    std::string body;
};

/// Carries requests to controllers. The tool's program implements it with the HTTP client.
class OperatorTransport
{
public:
    virtual ~OperatorTransport() = default;

    /// Sends the request to the controller at "IP:PORT" and waits for the answer, at most for @p limit. Fails with Unavailable if there
    /// is no answer; the verdict is NotRun if the request was not sent.
    virtual Result<OperatorAnswer>
    exchange(const std::string &controller, const OperatorRequest &request, const std::string &token, Duration limit) = 0;

    /// Waits between two attempts.
    virtual void pause(Duration length) = 0;
};

} // namespace Toucandeck
