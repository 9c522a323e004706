#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <deque>

namespace Toucandeck::internal
{

/// Records when this controller applied recent commands, and derives the oldest version of a view with which a lease is extended.
class CommitTimes
{
public:
    /// Treats commands up to @p version as older than kMaxViewAge, because their commit times are unknown.
    void reset(LogIndex version);

    void record(LogIndex index, TimePoint now);

    /// Version of the last command that was applied kMaxViewAge before @p now or earlier.
    LogIndex requiredVersion(TimePoint now);

    /// Version of the last command that was applied at @p time or earlier; goes back at most kMaxViewAge.
    LogIndex versionAt(TimePoint time) const;

private:
    struct Entry
    {
        LogIndex index;
        TimePoint time;
    };

    std::deque<Entry> m_recentCommits;
    LogIndex m_baseVersion; ///< Version before the first of m_recentCommits.
};

} // namespace Toucandeck::internal
