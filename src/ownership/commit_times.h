#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <deque>

namespace Toucandeck::internal
{

/// When this controller applied recent commands; gives the version that a view must have to hold a lease. Kept by followers too, so
/// that a new leader does not grant old views another two seconds.
class CommitTimes
{
public:
    /// Commands up to @p version count as old.
    void reset(LogIndex version);

    void record(LogIndex index, TimePoint now);

    /// Version of the last command that was applied kMaxViewAge before @p now or earlier.
    LogIndex required(TimePoint now);

private:
    struct Entry
    {
        LogIndex index;
        TimePoint time;
    };

    std::deque<Entry> m_recent;
    LogIndex m_old;
};

} // namespace Toucandeck::internal
