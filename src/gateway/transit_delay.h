#pragma once

#include "common/time.h"

#include <optional>

namespace Toucandeck
{

/// Tells how much longer than usual the messages on one connection were on their way, without synchronised clocks: the difference between
/// the receiver's clock and the sender's time in a message is smallest for a message that was not delayed.
class TransitDelay
{
public:
    /// Delay of a message beyond that of the fastest ones before it; zero for the first message.
    /// @param sentAt the sender's monotonic clock when it sent the message.
    Duration excess(Duration sentAt, TimePoint now);

private:
    std::optional<Duration> m_leastOffset; ///< Of the receiver's clock to the sender's, as seen in the fastest message.
    TimePoint m_updatedAt;
};

} // namespace Toucandeck
