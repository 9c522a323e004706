#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <deque>
#include <optional>

namespace Toucandeck::internal
{

/// When an instance that has begun to leave stops admitting work for what it still owns. The router learns of the leaving late; how
/// late at most follows from the renewals whose answers came from a leader that did not know of it either.
class LeaveDeadline
{
public:
    /// Notes that the leader was at @p version when it answered a renewal sent at @p sentAt.
    void noteLeaderVersion(LogIndex version, TimePoint sentAt);

    /// Notes whether the view shows the instance as serving; @p before is the version of the view before its last change.
    void update(bool isServing, LogIndex before, TimePoint now);

    bool admits(TimePoint now) const;

private:
    struct Answer
    {
        LogIndex version;
        TimePoint sentAt;
    };

    std::deque<Answer> m_answers;
    std::optional<TimePoint> m_deadline;
};

} // namespace Toucandeck::internal
