#pragma once

#include "ownership/leader_context.h"

#include <set>

namespace Toucandeck::internal
{

/// Sets rows of the table to state "leaving" once their leave time is reached, so that the change is visible in the table and can be
/// undone.
class LeaveTimes
{
public:
    explicit LeaveTimes(LeaderContext &context);

    /// Discards the record of pending proposals.
    void reset();

    /// Proposes the table edits that are due.
    void plan();

private:
    void propose(const wire::TableRow &row);

    LeaderContext &m_context;
    std::set<RowKey> m_pendingRows;
};

} // namespace Toucandeck::internal
