#include "ownership/lease_holder.h"

#include "ownership/lease.h"

#include <algorithm>

namespace Toucandeck::internal
{

std::uint64_t LeaseHolder::recordRenewal(TimePoint now)
{
    // An answer to a renewal older than the duration of a lease cannot extend it.
    while (!m_renewals.empty() && now - m_renewals.front().time > kLeaseTtl) {
        m_renewals.pop_front();
    }
    m_renewals.push_back({ ++m_lastSequence, now });
    return m_lastSequence;
}

void LeaseHolder::onGranted(std::uint64_t sequence, Duration ttl, TimePoint now)
{
    const auto start = sendTimeOf(sequence);
    if (start && *start <= now) {
        m_end = std::max(m_end, *start + holderLease(ttl));
    }
}

std::optional<TimePoint> LeaseHolder::sendTimeOf(std::uint64_t sequence) const
{
    const auto it
        = std::find_if(m_renewals.begin(), m_renewals.end(), [sequence](const Renewal &renewal) { return renewal.sequence == sequence; });
    return it == m_renewals.end() ? std::nullopt : std::optional(it->time);
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
    m_renewals.clear();
    m_end = TimePoint();
}

} // namespace Toucandeck::internal
