#pragma once

#include "common/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Toucandeck::internal
{

/// Lease as its holder counts it: from the time at which the answered renewal was sent.
class LeaseHolder
{
public:
    /// Notes that a renewal leaves now. Returns its sequence number.
    std::uint64_t sent(TimePoint now);

    /// Notes the answer to a renewal; @p ttl is the length that the grantor gave. Ignored for unknown numbers. The lease may end
    /// before @p now if the answer was late.
    void granted(std::uint64_t sequence, Duration ttl, TimePoint now);

    /// Time at which this renewal was sent, while it is recent enough to matter.
    std::optional<TimePoint> sentAt(std::uint64_t sequence) const;

    bool isValid(TimePoint now) const;
    TimePoint end() const;

    /// Forgets the lease and all renewals sent; sequence numbers go on.
    void reset();

private:
    struct Sent
    {
        std::uint64_t sequence;
        TimePoint time;
    };

    std::deque<Sent> m_sent;
    std::uint64_t m_lastSequence = 0;
    TimePoint m_end;
};

} // namespace Toucandeck::internal
