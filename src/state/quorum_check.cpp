#include "state/quorum_check.h"

#include <fmt/format.h>

namespace Toucandeck::internal
{

QuorumCheck::QuorumCheck(std::span<const ControllerMember> members)
    : m_members(members)
{
}

std::string QuorumCheck::quorumProblemWithout(const std::set<ReplicaId> &leaving) const
{
    if (m_members.empty()) {
        return "the membership of the controllers is unknown";
    }
    std::size_t voters = 0;
    std::size_t remaining = 0;
    std::set<std::string> domains;
    std::set<std::string> remainingDomains;
    for (const auto &it : m_members) {
        if (!it.voter) {
            continue;
        }
        ++voters;
        domains.insert(it.failureDomain);
        if (it.reachable.value_or(false) && !leaving.contains(it.id)) {
            ++remaining;
            remainingDomains.insert(it.failureDomain);
        }
    }
    const auto quorum = voters / 2 + 1;
    if (remaining < quorum) {
        return fmt::format("its controllers are needed: {} of {} would remain reachable, the quorum is {}", remaining, voters, quorum);
    }
    // If the members span two failure domains, an entry is acknowledged only when synced in two of them (design section 3.2).
    if (domains.size() > 1 && remainingDomains.size() < 2) {
        return "its controllers are needed: the remaining ones are all in one failure domain, where nothing can be acknowledged";
    }
    return {};
}

} // namespace Toucandeck::internal
