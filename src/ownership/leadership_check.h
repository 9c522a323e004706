#pragma once

#include <string>

namespace Toucandeck
{

/// What a controller knows about the leadership.
class LeadershipCheck
{
public:
    virtual ~LeadershipCheck() = default;

    /// True only while no other controller can have been elected: this controller leads, and a quorum has acknowledged heartbeats
    /// that it sent within the last minimum election timeout (150 ms). Counted from the sending of the heartbeat, not from the
    /// receipt of its answer. Relies on replicas that refuse votes, not only pre-votes, for that timeout after each heartbeat that
    /// they answered and after each start.
    virtual bool leadsSurely() const = 0;

    /// Message address of the present leader; empty if unknown.
    virtual std::string leaderAddress() const = 0;
};

} // namespace Toucandeck
