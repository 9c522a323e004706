#pragma once

#include "consensus/replica_transport.h"

#include "common/clock.h"
#include "common/random_source.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Toucandeck
{

/// Network in virtual time between numbered slots (VMs). Messages to a replica id go to the slot that was last registered for it.
class FakeNetwork
{
public:
    FakeNetwork(const ManualClock &clock, RandomSource &random);

    void setAddress(ReplicaId replica, int slot);
    void send(int from, ReplicaId to, const wire::ReplicaMessage &message);

    /// Delivers all messages that are due.
    void deliver(const std::function<void(int slot, const wire::ReplicaMessage &)> &receiver);

    /// Drops all messages from one slot to another until heal().
    void block(int from, int to);
    bool isBlocked(int from, int to) const;
    void heal();

    /// Numbers of messages that were lost, duplicated, blocked and reordered, by these names.
    const std::map<std::string, std::uint64_t> &faults() const;

    double loss = 0;
    double duplication = 0;
    Duration minDelay = std::chrono::milliseconds(1);
    Duration maxDelay = std::chrono::milliseconds(1);

    /// Drops each message for which it returns true; for tests.
    std::function<bool(const wire::ReplicaMessage &)> filter;

private:
    struct Packet
    {
        int slot;
        std::uint64_t number;
        wire::ReplicaMessage message;
    };

    void schedule(int slot, const wire::ReplicaMessage &message);

    const ManualClock &m_clock;
    RandomSource &m_random;
    std::map<ReplicaId, int> m_addresses;
    std::set<std::pair<int, int>> m_blocked;
    std::multimap<TimePoint, Packet> m_packets;
    std::uint64_t m_sent = 0;
    std::map<int, std::uint64_t> m_lastDelivered;
    std::map<std::string, std::uint64_t> m_faults;
};

} // namespace Toucandeck
