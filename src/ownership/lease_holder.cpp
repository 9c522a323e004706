#include "ownership/lease_holder.h"

#include "ownership/lease.h"

#include <algorithm>

namespace Toucandeck::internal
{

std::uint64_t LeaseHolder::sent(TimePoint now)
{
    // An answer to a renewal older than the lease could not extend anything.
    while (!m_sent.empty() && now - m_sent.front().time > kLeaseTtl) {
        m_sent.pop_front();
    }
    m_sent.push_back({ ++m_lastSequence, now });
    return m_lastSequence;
}

void LeaseHolder::granted(std::uint64_t sequence, Duration ttl, TimePoint now)
{
    const auto start = sentAt(sequence);
    if (start && *start <= now) {
        m_end = std::max(m_end, *start + holderLease(ttl));
    }
}

std::optional<TimePoint> LeaseHolder::sentAt(std::uint64_t sequence) const
{
    const auto it = std::find_if(m_sent.begin(), m_sent.end(), [sequence](const Sent &sent) { return sent.sequence == sequence; });
    return it == m_sent.end() ? std::nullopt : std::optional(it->time);
}

bool LeaseHolder::isValid(TimePoint now) const
{
    return now < m_end;
}

TimePoint LeaseHolder::end() const
{
    return m_end;
}

void LeaseHolder::reset()
{
    m_sent.clear();
    m_end = TimePoint();
}

} // namespace Toucandeck::internal
