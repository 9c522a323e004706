#pragma once

#include "cli/operator_transport.h"
#include "common/result.h"

#include <string>
#include <vector>

namespace Toucandeck
{

/// Gives new controllers their first membership: queries the identity of each, then sends the list to all. Fails without a change if a
/// controller does not answer or already belongs to a membership. A repeated call after a partial failure fails with Conflict at
/// the controllers that were reached; add the others with `controllers add`.
Result<std::string>
bootstrapControllers(OperatorTransport &transport, const std::vector<std::string> &controllers, const std::string &token, Duration limit);

} // namespace Toucandeck
