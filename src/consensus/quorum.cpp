#include "consensus/quorum.h"

#include <set>

namespace Toucandeck::internal
{

bool isQuorum(const Membership &membership, const std::function<bool(ReplicaId)> &agrees)
{
    std::set<std::string_view> domains;
    std::set<std::string_view> agreeingDomains;
    std::size_t agreeing = 0;
    for (const auto &it : membership.members) {
        if (it.role != ReplicaRole::Voter) {
            continue;
        }
        domains.insert(it.failureDomain);
        if (agrees(it.replica)) {
            ++agreeing;
            agreeingDomains.insert(it.failureDomain);
        }
    }
    const auto domainsNeeded = std::min<std::size_t>(domains.size(), 2);
    return agreeing > membership.voterCount() / 2 && agreeingDomains.size() >= domainsNeeded;
}

} // namespace Toucandeck::internal
