#pragma once

#include "consensus/replica.h"
#include "ownership/coordinator.h"
#include "state/leave_plan.h"
#include "state/leave_status.h"
#include "state/view.h"

#include <nlohmann/json.hpp>
#include <string>

namespace Toucandeck::internal
{

/// JSON representations for the operators' interface. Times are in ms.
nlohmann::json toJson(const wire::TableRow &row);
nlohmann::json tableToJson(const View &view);
nlohmann::json ownersToJson(const View &view);
nlohmann::json sessionsToJson(const View &view, const std::vector<SessionStatus> &sessions, TimePoint now);
nlohmann::json controllersToJson(const Replica &replica);
nlohmann::json toJson(const LeavePlan &plan);
nlohmann::json toJson(const LeaveStatus &status);

/// Reads {"request_id", "force", "edits": [{"row", "set": {column: text}, "seen_revision"}]}. An empty string clears the column.
/// Errors: InvalidArgument with the field that is wrong.
Result<wire::EditTable> editFromJson(const std::string &body, bool &force);

/// Reads {"members": [{"replica", "failure_domain", "address", "http_address"}]}; replica ids are hexadecimal.
Result<Membership> membershipFromJson(const std::string &body);

/// Hexadecimal text of an id, 16 digits.
std::string idText(std::uint64_t id);
Result<std::uint64_t> idFromText(const std::string &text);

} // namespace Toucandeck::internal
