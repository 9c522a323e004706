#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <map>
#include <string>
#include <utility>

namespace Toucandeck::internal
{

/// Items without an owner that may not be granted yet, because the lease of the lost owner may still be valid or its backend server
/// may still execute requests.
class GrantHolds
{
public:
    void hold(const std::string &service, PartitionId partition, TimePoint until);
    void hold(const std::string &service, KeyHash key, TimePoint until);

    bool isHeld(const std::string &service, PartitionId partition, TimePoint now) const;
    bool isHeld(const std::string &service, KeyHash key, TimePoint now) const;

    /// Removes the holds that have expired. Returns whether there were any.
    bool removeExpired(TimePoint now);
    void clear();

private:
    std::map<std::pair<std::string, PartitionId>, TimePoint> m_partitions;
    std::map<std::pair<std::string, KeyHash>, TimePoint> m_keys;
};

} // namespace Toucandeck::internal
