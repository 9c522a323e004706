#pragma once

#include <map>
#include <peer.pb.h>
#include <string>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// Capacities of the backend servers that can hold keys, in requests per second.
class HolderCapacities
{
public:
    /// Adds a backend server, whose service time contributes to the mean of its service.
    void add(const wire::InstanceReport &instance);

    /// Capacity by slots and service time. With a reported speed it is in proportion to the speed, since the time in the slot hides part of
    /// the difference: it includes the wait for nested calls, which does not depend on the backend server. While no service time is known,
    /// a common default makes the capacity proportional to the slots.
    double of(const wire::InstanceReport &instance) const;

private:
    struct Mean
    {
        double sumUs = 0;
        double count = 0;
    };

    double serviceTimeUs(const wire::InstanceReport &instance) const;

    std::map<std::string, Mean> m_serviceTimes; ///< By service.
};

} // namespace Toucandeck
