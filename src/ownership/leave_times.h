#pragma once

#include "ownership/leader_context.h"

#include <set>

namespace Toucandeck::internal
{

/// Turns a leave time of the table that has been reached into state "leaving", so that it shows in the table and can be undone.
class LeaveTimes
{
public:
    explicit LeaveTimes(LeaderContext &context);

    /// Forgets pending proposals.
    void reset();

    /// Proposes the edits that are due.
    void plan();

private:
    void propose(const wire::TableRow &row);

    LeaderContext &m_context;
    std::set<RowKey> m_pending;
};

} // namespace Toucandeck::internal
