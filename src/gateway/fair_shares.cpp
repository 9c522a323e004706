#include "gateway/fair_shares.h"

#include <algorithm>

namespace Toucandeck
{

std::uint32_t FairShares::groupOf(const Call &call)
{
    return call.rank * 2 + (call.nested ? 1 : 0);
}

bool FairShares::sameShare(const Call &a, const Call &b)
{
    return groupOf(a) == groupOf(b) && a.entry == b.entry;
}

Duration FairShares::startTag(const Call &call) const
{
    const auto group = m_groups.find(groupOf(call));
    if (group == m_groups.end()) {
        return {};
    }
    const auto &it = group->second;
    const auto finish = it.finishTags.find(call.entry);
    return finish == it.finishTags.end() ? it.virtualTime : std::max(it.virtualTime, finish->second);
}

void FairShares::charge(const Call &call, Duration startTag, Duration work)
{
    auto &group = m_groups[groupOf(call)];
    ++group.waiting;
    group.finishTags[call.entry] = startTag + work;
}

void FairShares::recordDispatch(const Call &call, Duration startTag)
{
    const auto group = m_groups.find(groupOf(call));
    if (group == m_groups.end()) {
        return;
    }
    group->second.virtualTime = std::max(group->second.virtualTime, startTag);
    recordLeft(group);
}

void FairShares::refund(const Call &call, Duration work)
{
    const auto group = m_groups.find(groupOf(call));
    if (group == m_groups.end()) {
        return;
    }
    group->second.finishTags[call.entry] -= work;
    recordLeft(group);
}

void FairShares::recordLeft(std::map<std::uint32_t, Group>::iterator group)
{
    if (--group->second.waiting == 0) {
        m_groups.erase(group); // Nobody waits behind another entry, so no entry is ahead of its share.
    }
}

} // namespace Toucandeck
