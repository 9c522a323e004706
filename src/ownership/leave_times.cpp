#include "ownership/leave_times.h"

#include "ownership/events.h"

namespace Toucandeck::internal
{

LeaveTimes::LeaveTimes(LeaderContext &context)
    : m_context(context)
{
}

void LeaveTimes::reset()
{
    m_pendingRows.clear();
}

void LeaveTimes::plan()
{
    const auto now = m_context.wallMilliseconds();
    for (const auto &[key, row] : m_context.view().rows()) {
        if (row.has_leave_time_ms() && row.leave_time_ms() <= now && !m_pendingRows.contains(key)) {
            propose(row);
        }
    }
}

void LeaveTimes::propose(const wire::TableRow &row)
{
    const auto key = keyOf(row);
    wire::Command command;
    // The request id is derived from the row, so that a second leader that proposes the same edit gets the answer to the first.
    command.mutable_edit_table()->set_request_id("leave-time:" + toString(key) + ":" + std::to_string(row.revision()));
    auto &edit = *command.mutable_edit_table()->add_edits();
    setKey(*edit.mutable_row(), key);
    const bool isServing = row.state() == wire::UNSET || row.state() == wire::SERVING;
    if (isServing) {
        edit.mutable_row()->set_state(wire::LEAVING);
    }
    edit.set_seen_revision(row.revision());
    edit.add_clear("leave_time");
    m_pendingRows.insert(key);
    m_context.parts.logger.write(OwnershipEvents::kLeaveTimeReached, { field("row", toString(key)) });
    m_context.propose(command, [this, key](const CommandAnswer *) { m_pendingRows.erase(key); });
}

} // namespace Toucandeck::internal
