#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <deque>
#include <optional>

namespace Toucandeck::internal
{

/// Deadline at which a leaving instance stops admitting requests for the items that it still owns. The router learns of the leave
/// with a delay; an upper bound of it follows from the renewals answered by a leader whose version was older than the leave.
class LeaveDeadline
{
public:
    /// Records that the leader was at @p version when it answered a renewal sent at @p sendTime.
    void recordLeaderVersion(LogIndex version, TimePoint sendTime);

    /// Sets the deadline if the view does not show the instance as serving, and clears it otherwise. @p before is the version of the
    /// view before its last change.
    void update(bool isServing, LogIndex before, TimePoint now);

    bool admits(TimePoint now) const;

private:
    struct Answer
    {
        LogIndex version;
        TimePoint sendTime;
    };

    std::deque<Answer> m_answers;
    std::optional<TimePoint> m_deadline;
};

} // namespace Toucandeck::internal
