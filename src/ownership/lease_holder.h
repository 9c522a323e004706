#pragma once

#include "common/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Toucandeck::internal
{

/// Holder side of a lease, which counts from the time at which the answered renewal was sent.
class LeaseHolder
{
public:
    /// Records that a renewal is sent at @p now. Returns its sequence number.
    std::uint64_t recordRenewal(TimePoint now);

    /// Extends the lease after an answer to a renewal; @p ttl is the duration that the grantor gave. Ignored for unknown sequence
    /// numbers. The lease may end before @p now if the answer was late.
    void onGranted(std::uint64_t sequence, Duration ttl, TimePoint now);

    /// Time at which this renewal was sent; empty if it is unknown or too old to extend the lease.
    std::optional<TimePoint> sendTimeOf(std::uint64_t sequence) const;

    bool isValid(TimePoint now) const;
    TimePoint end() const;

    /// Discards the lease and all renewals sent; sequence numbers continue.
    void reset();

private:
    struct Renewal
    {
        std::uint64_t sequence;
        TimePoint time;
    };

    std::deque<Renewal> m_renewals;
    std::uint64_t m_lastSequence = 0;
    TimePoint m_end;
};

} // namespace Toucandeck::internal
