#pragma once

#include "common/clock.h"

#include <cstdint>
#include <functional>
#include <list>

namespace Toucandeck
{

/// Delays the confirmation of a committed manifest until the gateways apply it. An operator may take a confirmed manifest as in force,
/// but an update can take seconds to a gateway whose link is congested.
class ManifestBarrier
{
public:
    using Callback = std::function<void()>;
    /// True if all gateways in contact apply this version or a later one.
    using Condition = std::function<bool(std::uint64_t version)>;

    /// @param maxDelay limits the delay, since operators repeat an order that is not confirmed in time; zero confirms at once.
    ManifestBarrier(const Clock &clock, Duration maxDelay);

    void setCondition(Condition isApplied);

    /// Calls @p confirm once the version is applied or the longest delay has passed, perhaps before this returns.
    void await(std::uint64_t version, Callback confirm);

    /// Confirms what can be confirmed. Call it periodically and whenever a gateway reports its version.
    void process();

    std::size_t waitingCount() const;

private:
    struct Waiting
    {
        std::uint64_t version = 0;
        TimePoint latest; ///< When the order is confirmed in any case.
        Callback confirm;
    };

    const Clock &m_clock;
    Duration m_maxDelay;
    Condition m_isApplied;
    std::list<Waiting> m_waiting;
};

} // namespace Toucandeck
