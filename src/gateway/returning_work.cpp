#include "gateway/returning_work.h"

namespace Toucandeck
{

namespace
{

constexpr std::size_t kMaxEntries = 1000; ///< Bounds the memory in a flood of refusals.

} // namespace

void ReturningWork::record(TimePoint at, Duration work, TimePoint now)
{
    while (!m_byTime.empty() && (m_byTime.begin()->first <= now || m_byTime.size() >= kMaxEntries)) {
        m_total -= m_byTime.begin()->second;
        m_byTime.erase(m_byTime.begin());
    }
    m_byTime.emplace(at, work);
    m_total += work;
}

Duration ReturningWork::pending(TimePoint now) const
{
    Duration returned{};
    for (auto it = m_byTime.begin(); it != m_byTime.end() && it->first <= now; ++it) {
        returned += it->second;
    }
    return m_total - returned;
}

} // namespace Toucandeck
