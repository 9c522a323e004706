#include "ownership/grant_holds.h"

#include <algorithm>

namespace Toucandeck::internal
{

namespace
{

template<class Map, class Item>
void extend(Map &map, const std::string &service, Item item, TimePoint until)
{
    auto &end = map[{ service, item }];
    end = std::max(end, until);
}

template<class Map, class Item>
bool contains(const Map &map, const std::string &service, Item item, TimePoint now)
{
    const auto it = map.find({ service, item });
    return it != map.end() && now < it->second;
}

} // namespace

void GrantHolds::hold(const std::string &service, PartitionId partition, TimePoint until)
{
    extend(m_partitions, service, partition, until);
}

void GrantHolds::hold(const std::string &service, KeyHash key, TimePoint until)
{
    extend(m_keys, service, key, until);
}

bool GrantHolds::isHeld(const std::string &service, PartitionId partition, TimePoint now) const
{
    return contains(m_partitions, service, partition, now);
}

bool GrantHolds::isHeld(const std::string &service, KeyHash key, TimePoint now) const
{
    return contains(m_keys, service, key, now);
}

bool GrantHolds::removeExpired(TimePoint now)
{
    const auto hasExpired = [now](const auto &it) { return now >= it.second; };
    return std::erase_if(m_partitions, hasExpired) + std::erase_if(m_keys, hasExpired) > 0;
}

void GrantHolds::clear()
{
    m_partitions.clear();
    m_keys.clear();
}

} // namespace Toucandeck::internal
