#include "consensus/membership.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace Toucandeck
{

namespace
{

auto sameReplica(ReplicaId replica)
{
    return [replica](const Member &it) { return it.replica == replica; };
}

bool isUnchanged(const Membership &before, const Membership &after, ReplicaId replica)
{
    const auto *entryBefore = before.find(replica);
    const auto *entryAfter = after.find(replica);
    return (entryBefore == nullptr || entryAfter == nullptr) ? entryBefore == entryAfter : *entryBefore == *entryAfter;
}

std::set<ReplicaId> changedReplicas(const Membership &before, const Membership &after)
{
    std::set<ReplicaId> changed;
    for (const auto *members : { &before.members, &after.members }) {
        for (const auto &it : *members) {
            if (!isUnchanged(before, after, it.replica)) {
                changed.insert(it.replica);
            }
        }
    }
    return changed;
}

} // namespace

const Member *Membership::find(ReplicaId replica) const
{
    const auto it = std::find_if(members.begin(), members.end(), sameReplica(replica));
    return it == members.end() ? nullptr : &*it;
}

bool Membership::isVoter(ReplicaId replica) const
{
    const auto *member = find(replica);
    return member != nullptr && member->role == ReplicaRole::Voter;
}

std::size_t Membership::voterCount() const
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const Member &it) { return it.role == ReplicaRole::Voter; }));
}

Membership Membership::with(Member member) const
{
    auto copy = *this;
    const auto it = std::find_if(copy.members.begin(), copy.members.end(), sameReplica(member.replica));
    if (it == copy.members.end()) {
        copy.members.push_back(std::move(member));
    } else {
        *it = std::move(member);
    }
    return copy;
}

Membership Membership::without(ReplicaId replica) const
{
    auto copy = *this;
    std::erase_if(copy.members, sameReplica(replica));
    return copy;
}

wire::MembershipConfig toWire(const Membership &membership)
{
    wire::MembershipConfig config;
    for (const auto &it : membership.members) {
        auto *member = config.add_members();
        member->set_replica(it.replica.value);
        member->set_role(it.role == ReplicaRole::Voter ? wire::VOTER : wire::LEARNER);
        member->set_failure_domain(it.failureDomain);
        member->set_address(it.address);
        member->set_http_address(it.httpAddress);
    }
    return config;
}

Membership fromWire(const wire::MembershipConfig &config)
{
    Membership membership;
    for (const auto &it : config.members()) {
        const auto role = it.role() == wire::VOTER ? ReplicaRole::Voter : ReplicaRole::Learner;
        membership.members.push_back({ ReplicaId{ it.replica() }, role, it.failure_domain(), it.address(), it.http_address() });
    }
    return membership;
}

Result<void> checkMembership(const Membership &membership)
{
    std::set<ReplicaId> known;
    for (const auto &it : membership.members) {
        if (!it.replica) {
            return fail(ErrorCode::InvalidArgument, "a member has no replica id");
        }
        if (!known.insert(it.replica).second) {
            return fail(ErrorCode::InvalidArgument, fmt::format("replica {:016x} is listed twice", it.replica.value));
        }
    }
    if (membership.voterCount() == 0) {
        return fail(ErrorCode::InvalidArgument, "a membership needs at least one voter");
    }
    return {};
}

Result<void> checkMembershipChange(const Membership &before, const Membership &after)
{
    BOOST_LEAF_CHECK(checkMembership(after));
    const auto changed = changedReplicas(before, after);
    if (changed.empty()) {
        return fail(ErrorCode::InvalidArgument, "the membership is unchanged");
    }
    if (changed.size() > 1) {
        return fail(ErrorCode::Refused, fmt::format("{} replicas differ; a membership change may affect only one", changed.size()));
    }
    const auto replica = *changed.begin();
    if (before.find(replica) == nullptr && after.isVoter(replica)) {
        return fail(ErrorCode::Refused, fmt::format("replica {:016x} must join as a learner", replica.value));
    }
    if (before.isVoter(replica) && after.find(replica) != nullptr && !after.isVoter(replica)) {
        return fail(ErrorCode::Refused, fmt::format("voter {:016x} cannot be demoted to learner; remove it instead", replica.value));
    }
    return {};
}

} // namespace Toucandeck
