#include "ownership/commit_times.h"

#include "common/assert.h"
#include "ownership/lease.h"

#include <algorithm>

namespace Toucandeck::internal
{

void CommitTimes::reset(LogIndex version)
{
    m_recentCommits.clear();
    m_baseVersion = std::max(m_baseVersion, version);
}

void CommitTimes::record(LogIndex index, TimePoint now)
{
    TOUCANDECK_ASSERT(index > m_baseVersion && (m_recentCommits.empty() || index > m_recentCommits.back().index), "versions only grow");
    m_recentCommits.push_back({ index, now });
    requiredVersion(now);
}

LogIndex CommitTimes::requiredVersion(TimePoint now)
{
    while (!m_recentCommits.empty() && now - m_recentCommits.front().time >= kMaxViewAge) {
        m_baseVersion = m_recentCommits.front().index;
        m_recentCommits.pop_front();
    }
    return m_baseVersion;
}

LogIndex CommitTimes::versionAt(TimePoint time) const
{
    auto version = m_baseVersion;
    for (const auto &it : m_recentCommits) {
        version = it.time <= time ? it.index : version;
    }
    return version;
}

} // namespace Toucandeck::internal
