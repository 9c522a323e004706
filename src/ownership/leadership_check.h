#pragma once

#include <string>

namespace Toucandeck
{

/// Leadership as known to one controller.
class LeadershipCheck
{
public:
    virtual ~LeadershipCheck() = default;

    /// True only while no other controller can have been elected: this controller leads, and a quorum has acknowledged heartbeats
    /// that it sent within the last minimum election timeout (150 ms). The time counts from the sending of the heartbeat, not from
    /// the receipt of its answer. Requires that replicas refuse votes, not only pre-votes, for that timeout after each heartbeat
    /// that they answered and after each start.
    virtual bool isConfirmedLeader() const = 0;

    /// Message address of the current leader; empty if unknown.
    virtual std::string leaderAddress() const = 0;
};

} // namespace Toucandeck
