#include "ownership/commit_times.h"

#include "common/assert.h"
#include "ownership/lease.h"

#include <algorithm>

namespace Toucandeck::internal
{

void CommitTimes::reset(LogIndex version)
{
    m_recent.clear();
    m_old = std::max(m_old, version);
}

void CommitTimes::record(LogIndex index, TimePoint now)
{
    TOUCANDECK_ASSERT(index > m_old && (m_recent.empty() || index > m_recent.back().index), "versions only grow");
    m_recent.push_back({ index, now });
    required(now);
}

LogIndex CommitTimes::required(TimePoint now)
{
    while (!m_recent.empty() && now - m_recent.front().time >= kMaxViewAge) {
        m_old = m_recent.front().index;
        m_recent.pop_front();
    }
    return m_old;
}

LogIndex CommitTimes::versionAt(TimePoint time) const
{
    auto version = m_old;
    for (const auto &it : m_recent) {
        version = it.time <= time ? it.index : version;
    }
    return version;
}

} // namespace Toucandeck::internal
