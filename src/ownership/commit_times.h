#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <deque>

namespace Toucandeck::internal
{

/// When this controller applied recent commands; gives the version that a view must have to hold a lease.
class CommitTimes
{
public:
    /// Commands up to @p version count as old, because it is not known when they were committed.
    void reset(LogIndex version);

    void record(LogIndex index, TimePoint now);

    /// Version of the last command that was applied kMaxViewAge before @p now or earlier.
    LogIndex required(TimePoint now);

    /// Version before the commands that were applied after @p time; at most those of the last kMaxViewAge.
    LogIndex versionAt(TimePoint time) const;

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
